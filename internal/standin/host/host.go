package host

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/greengagegate/greengagegate/internal/fault"
	"github.com/greengagegate/greengagegate/internal/standin/enginesim"
	"github.com/greengagegate/greengagegate/internal/standin/kvstore"
	"github.com/greengagegate/greengagegate/internal/standin/plainsvc"
	"github.com/greengagegate/greengagegate/internal/standin/platform"
	"github.com/rs/zerolog"
)

// headerTimeout limits the time to read the headers of a request.
const headerTimeout = 5 * time.Second

// Manager runs all stand-ins of one process.
type Manager struct {
	settings *Settings
	log      zerolog.Logger
	platform *platform.Manager
	kv       *kvstore.Store // nil if disabled
	weights  *enginesim.WeightStore
	engines  []*enginesim.Manager
	services []*plainsvc.Manager
	servers  []*http.Server
}

// New returns a manager of the stand-ins in the settings, without starting them. It
// returns an error when the list of hosts is malformed.
func New(s *Settings, log zerolog.Logger) (*Manager, error) {
	m := &Manager{settings: s, log: log}
	hosts, err := s.Platform.parseHosts()
	if err != nil {
		return nil, err
	}
	m.platform = platform.New(platform.Options{
		HostLag: s.Platform.HostLag,
		Hosts:   hosts,
		Latency: s.Platform.Latency,
	})
	if s.KVStore.Blocks > 0 {
		m.kv = kvstore.New(kvstore.Options{
			Blocks:          s.KVStore.Blocks,
			BlockTokens:     s.Engines.BlockTokens,
			TokensPerSecond: s.KVStore.TokensPerSecond,
			Latency:         s.KVStore.Latency,
		})
	}
	m.weights = &enginesim.WeightStore{LoadTime: s.Engines.LoadTime, FullSpeedLoads: s.Engines.LoadsAtOnce}
	for i, address := range s.Engines.Listen {
		m.engines = append(m.engines, enginesim.New(m.engineOptions(i, address)))
	}
	for i, address := range s.Services.Listen {
		m.services = append(m.services, plainsvc.New(plainsvc.Options{
			Name:    fmt.Sprintf("service-%d", i+1),
			Address: address,
			Latency: s.Services.Latency,
			Restart: s.Services.Restart,
		}))
	}
	return m, nil
}

func (m *Manager) engineOptions(index int, address string) enginesim.Options {
	settings := m.settings.Engines
	return enginesim.Options{
		Name:            fmt.Sprintf("engine-%d", index+1),
		Address:         address,
		Weights:         settings.Weights,
		Seed:            uint64(settings.Seed) + uint64(index),
		BlockTokens:     settings.BlockTokens,
		CacheBlocks:     settings.CacheBlocks,
		IdleEviction:    settings.IdleEviction,
		BatchLimit:      settings.BatchLimit,
		MaxWaiting:      settings.MaxWaiting,
		PrefillRate:     settings.PrefillRate,
		DecodeBase:      settings.DecodeBase,
		DecodePerStream: settings.DecodePerStream,
		EventDelayMin:   settings.EventDelayMin,
		EventDelayMax:   settings.EventDelayMax,
		EventLoss:       settings.EventLoss,
		EventGapMax:     settings.EventGapMax,
		LoadLag:         settings.LoadLag,
		Restart:         settings.Restart,
		ChecksFence:     slices.Contains(settings.CheckFence, address),
		PoisonMarker:    settings.PoisonMarker,
		CacheStore:      m.kv,
		WeightStore:     m.weights,
	}
}

// Start starts the stand-ins and then the admin listener. It returns an error when one
// of them cannot listen; those started before keep running until Stop. The context is not
// used.
func (m *Manager) Start(context.Context) error {
	if m.settings.Platform.Listen != "" {
		if err := m.serve(m.settings.Platform.Listen, m.platform.Handler()); err != nil {
			return err
		}
	}
	for _, e := range m.engines {
		if err := e.Start(); err != nil {
			return err
		}
	}
	for _, s := range m.services {
		if err := s.Start(); err != nil {
			return err
		}
	}
	if err := m.serve(m.settings.Admin.Listen, m.adminHandler()); err != nil {
		return err
	}
	m.log.Info().Int("engines", len(m.engines)).Int("services", len(m.services)).Msg("stand-in: all stand-ins started")
	return nil
}

// Stop stops all stand-ins and closes the listeners. The context is not used.
func (m *Manager) Stop(context.Context) error {
	for _, e := range m.engines {
		e.Stop()
	}
	for _, s := range m.services {
		s.Stop()
	}
	for _, server := range m.servers {
		_ = server.Close()
	}
	return nil
}

// serve listens at address and serves requests in the background.
func (m *Manager) serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fault.Wrap(err, "listen", address)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	m.servers = append(m.servers, server)
	go func() { _ = server.Serve(listener) }()
	return nil
}
