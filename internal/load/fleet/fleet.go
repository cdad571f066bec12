package fleet

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/internal/fault"
	"github.com/greengagegate/greengagegate/internal/load/relay"
	"github.com/greengagegate/greengagegate/internal/object"
	"github.com/rs/zerolog"
)

const (
	healthTimeout   = 20 * time.Second
	readyTimeout    = 40 * time.Second
	pollInterval    = 50 * time.Millisecond
	stopTimeout     = 70 * time.Second
	publishAttempts = 20
	publishPause    = 500 * time.Millisecond
)

// Manager is a running fleet.
type Manager struct {
	options  Options
	log      zerolog.Logger
	standin  *process
	routers  []*process
	agents   []*process
	relays   []*relay.Manager
	failures chan error
	http     *http.Client
}

// New prepares a fleet. Nothing is started.
func New(options Options, log zerolog.Logger) *Manager {
	return &Manager{
		options:  options,
		log:      log,
		failures: make(chan error, 1),
		http:     &http.Client{Timeout: 2 * time.Second},
	}
}

// Failures receives the error of a process that ended by itself.
func (m *Manager) Failures() <-chan error { return m.failures }

// CallerAddresses returns the routers' addresses for callers.
func (m *Manager) CallerAddresses() []string { return m.routerAddresses(portCallers) }

// ReadyAddresses returns the routers' admin addresses.
func (m *Manager) ReadyAddresses() []string { return m.routerAddresses(portAdmin) }

func (m *Manager) routerAddresses(port int) []string {
	routers, _, _ := m.options.places()
	var addresses []string
	for _, p := range routers {
		addresses = append(addresses, p.at(port))
	}
	return addresses
}

// EngineAddresses returns the engines' own addresses.
func (m *Manager) EngineAddresses() []string {
	_, engines, _ := m.options.places()
	var addresses []string
	for _, p := range engines {
		addresses = append(addresses, p.at(portUpstream))
	}
	return addresses
}

// Start starts all processes and publishes the configuration. It returns when
// every router and agent is ready. After an error the caller still calls Stop.
func (m *Manager) Start(ctx context.Context) error {
	if err := m.startStandin(ctx); err != nil {
		return err
	}
	if err := m.startRelays(); err != nil {
		return err
	}
	if err := m.startProcesses(); err != nil {
		return err
	}
	if err := m.waitAll(ctx, "/healthz", healthTimeout); err != nil {
		return err
	}
	if err := m.publish(ctx, "fleet", m.options.documents()); err != nil {
		return err
	}
	return m.waitAll(ctx, "/readyz", readyTimeout)
}

func (m *Manager) startStandin(ctx context.Context) error {
	process, err := m.newProcess("standin", "greengage-standin", m.options.standinSettings())
	if err != nil {
		return err
	}
	m.standin = process
	if err := process.start(); err != nil {
		return err
	}
	return m.waitFor(ctx, m.options.standin(portStandin), "/healthz", healthTimeout)
}

func (m *Manager) startRelays() error {
	if m.options.Direct {
		return nil
	}
	routers, engines, services := m.options.places()
	for _, group := range [][]place{routers, engines, services} {
		for _, p := range group {
			r, err := relay.New(relay.Options{
				Listen: p.at(portRelay),
				Target: p.at(portInner),
				Delay:  m.options.Scenario.ZoneDelay,
				Zone:   zoneOf,
			})
			if err != nil {
				return err
			}
			m.relays = append(m.relays, r)
		}
	}
	return nil
}

func (m *Manager) startProcesses() error {
	routers, engines, services := m.options.places()
	for _, p := range routers {
		if err := m.add(&m.routers, p.name, "greengage-router", m.options.routerSettings(p)); err != nil {
			return err
		}
	}
	for _, p := range engines {
		if err := m.add(&m.agents, p.name, "greengage-agent", m.options.agentSettings(p, "engine")); err != nil {
			return err
		}
	}
	for _, p := range services {
		if err := m.add(&m.agents, p.name, "greengage-agent", m.options.agentSettings(p, "service")); err != nil {
			return err
		}
	}
	return nil
}

func (m *Manager) add(group *[]*process, name, program, settings string) error {
	process, err := m.newProcess(name, program, settings)
	if err != nil {
		return err
	}
	*group = append(*group, process)
	return process.start()
}

func (m *Manager) newProcess(name, program, settings string) (*process, error) {
	path, err := m.options.writeSettings(name, settings)
	if err != nil {
		return nil, err
	}
	return &process{
		name:     name,
		program:  filepath.Join(m.options.BinDir, program),
		settings: path,
		logPath:  filepath.Join(m.options.WorkDir, name+".log"),
		failed:   m.failures,
	}, nil
}

// waitAll waits until each router and agent answers 200 at a path of its admin listener.
func (m *Manager) waitAll(ctx context.Context, path string, timeout time.Duration) error {
	routers, engines, services := m.options.places()
	for _, group := range [][]place{routers, engines, services} {
		for _, p := range group {
			if err := m.waitFor(ctx, p.at(portAdmin), path, timeout); err != nil {
				return err
			}
		}
	}
	return nil
}

func (m *Manager) waitFor(ctx context.Context, address, path string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		if m.answers(ctx, address, path) {
			return nil
		}
		select {
		case err := <-m.failures:
			return err
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return fault.Wrap(ctx.Err(), "wait for "+path+" of", address)
		}
	}
}

func (m *Manager) answers(ctx context.Context, address, path string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return false
	}
	response, err := m.http.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// publish commits objects through one router after the other until one accepts.
func (m *Manager) publish(ctx context.Context, name string, documents []document) error {
	path, err := m.options.writeDocuments(name, documents)
	if err != nil {
		return err
	}
	var output []byte
	for attempt := range publishAttempts {
		servers := m.routerAddresses(portOperators)
		server := "http://" + servers[attempt%len(servers)]
		program := filepath.Join(m.options.BinDir, "greengagectl")
		output, err = exec.CommandContext(ctx, program, "publish", "-server", server, "-author", "load", path).CombinedOutput()
		if err == nil {
			return nil
		}
		time.Sleep(publishPause)
	}
	return fault.Wrap(fmt.Errorf("%w: %s", err, output), "publish", name)
}

// WithdrawKey publishes the withdrawal of the key that RevokedSecret opens.
func (m *Manager) WithdrawKey(ctx context.Context) error {
	withdrawn := keyDocument("to-withdraw", m.options.RevokedSecret(), m.options.Scenario.CustomerName(0), object.KeyWithdrawn)
	return m.publish(ctx, "withdraw", []document{withdrawn})
}

// RestartRouter stops a router gracefully and starts it again.
func (m *Manager) RestartRouter(ctx context.Context, index int) error {
	router := m.routers[index]
	if err := router.stop(stopTimeout); err != nil {
		return err
	}
	if err := router.start(); err != nil {
		return err
	}
	return m.waitFor(ctx, m.ReadyAddresses()[index], "/readyz", readyTimeout)
}

// KillRouter ends a router without notice and starts it again at once.
func (m *Manager) KillRouter(index int) error {
	m.routers[index].kill()
	return m.routers[index].start()
}

// KillAgent ends an agent without notice and starts it again at once. Agents of
// engines come before those of services.
func (m *Manager) KillAgent(index int) error {
	m.agents[index].kill()
	return m.agents[index].start()
}

// Processes returns the number of routers and agents.
func (m *Manager) Processes() int { return len(m.routers) + len(m.agents) }

// ProcessorTime returns what routers and agents have used.
func (m *Manager) ProcessorTime() (routers, agents time.Duration) {
	for _, p := range m.routers {
		routers += p.processorTime()
	}
	for _, p := range m.agents {
		agents += p.processorTime()
	}
	return routers, agents
}

// Stop stops all processes gracefully. The error joins those of all that did not.
func (m *Manager) Stop() error {
	errs := []error{stopAll(m.routers), stopAll(m.agents)}
	for _, r := range m.relays {
		r.Close()
	}
	if m.standin != nil {
		errs = append(errs, m.standin.stop(stopTimeout))
	}
	return errors.Join(errs...)
}

func stopAll(processes []*process) error {
	errs := make([]error, len(processes))
	var all sync.WaitGroup
	for i, p := range processes {
		all.Go(func() { errs[i] = p.stop(stopTimeout) })
	}
	all.Wait()
	return errors.Join(errs...)
}
