package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/greengagegate/greengagegate/internal/fault"
	"github.com/greengagegate/greengagegate/internal/standin/host"
	"github.com/greengagegate/greengagegate/internal/standin/plainsvc"
)

// Stats returns what the stand-ins have counted.
func (m *Manager) Stats(ctx context.Context) (host.Stats, error) {
	var stats host.Stats
	err := m.standinCall(ctx, http.MethodGet, host.PathStats, nil, &stats)
	return stats, err
}

// CrashEngine crashes an engine stand-in.
func (m *Manager) CrashEngine(ctx context.Context, index int) error {
	return m.standinCall(ctx, http.MethodPost, fmt.Sprint(host.PathCrashEngine, index), nil, nil)
}

// CrashService makes a service stand-in crash at its next charge.
func (m *Manager) CrashService(ctx context.Context, index int, at plainsvc.CrashPoint) error {
	return m.standinCall(ctx, http.MethodPost, fmt.Sprint(host.PathCrashService, index), host.CrashRequest{At: at}, nil)
}

// SetPlatformFaults changes how the platform stand-in misbehaves.
func (m *Manager) SetPlatformFaults(ctx context.Context, faults host.Faults) error {
	return m.standinCall(ctx, http.MethodPost, host.PathFaults, faults, nil)
}

func (m *Manager) standinCall(ctx context.Context, method, path string, in, out any) error {
	var body bytes.Buffer
	if in != nil {
		if err := json.NewEncoder(&body).Encode(in); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	address := m.options.standin(portStandin)
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, &body)
	if err != nil {
		return err
	}
	response, err := m.http.Do(request)
	if err != nil {
		return fault.Wrap(err, "call stand-in", address)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fault.New(response.Status, "call stand-in", path)
	}
	if out == nil {
		return nil
	}
	return fault.Wrap(json.NewDecoder(response.Body).Decode(out), "call stand-in", path)
}
