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

// Stats returns the counters of all stand-ins.
func (m *Manager) Stats(ctx context.Context) (host.Stats, error) {
	var stats host.Stats
	err := m.callStandin(ctx, http.MethodGet, host.PathStats, nil, &stats)
	return stats, err
}

// CrashEngine crashes the engine stand-in at this position, counted from 0.
func (m *Manager) CrashEngine(ctx context.Context, index int) error {
	return m.callStandin(ctx, http.MethodPost, fmt.Sprint(host.PathCrashEngine, index), nil, nil)
}

// CrashService crashes a service stand-in at once, or at its next charge before or
// after that is executed.
func (m *Manager) CrashService(ctx context.Context, index int, at plainsvc.CrashPoint) error {
	return m.callStandin(ctx, http.MethodPost, fmt.Sprint(host.PathCrashService, index), host.CrashRequest{At: at}, nil)
}

// SetPlatformFaults replaces the faults that the platform stand-in shows. The zero
// value ends all faults.
func (m *Manager) SetPlatformFaults(ctx context.Context, faults host.Faults) error {
	return m.callStandin(ctx, http.MethodPost, host.PathFaults, faults, nil)
}

// callStandin sends in as JSON to the admin listener of the stand-ins, unless it is
// nil, and decodes the answer into out, unless that is nil.
func (m *Manager) callStandin(ctx context.Context, method, path string, in, out any) error {
	var body bytes.Buffer
	if in != nil {
		if err := json.NewEncoder(&body).Encode(in); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	address := m.options.standinAddress(portStandin)
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
