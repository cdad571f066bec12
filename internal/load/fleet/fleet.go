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
	healthTimeout = 20 * time.Second
	readyTimeout  = 40 * time.Second
	pollInterval  = 50 * time.Millisecond
	// processStopTimeout is longer than the stop timeout of 60 s in the settings.
	processStopTimeout = 70 * time.Second
	publishAttempts    = 20
	publishRetryDelay  = 500 * time.Millisecond
)

// Manager starts, controls and stops the processes of one fleet. Start must return
// before other methods that act on processes are called.
type Manager struct {
	options  Options
	log      zerolog.Logger
	standin  *process
	routers  []*process
	agents   []*process
	relays   []*relay.Relay
	failures chan error
	http     *http.Client
}

// New returns a fleet none of whose processes is started yet.
func New(options Options, log zerolog.Logger) *Manager {
	return &Manager{
		options:  options,
		log:      log,
		failures: make(chan error, 1),
		http:     &http.Client{Timeout: 2 * time.Second},
	}
}

// Failures returns a channel that receives an error when a process exits without
// having been stopped or killed by the Manager. It holds one error; further errors
// are dropped while it is full.
func (m *Manager) Failures() <-chan error { return m.failures }

// CallerAddresses returns the routers' addresses for callers.
func (m *Manager) CallerAddresses() []string { return m.routerAddresses(portCallers) }

// ReadyAddresses returns the routers' admin addresses, which serve /readyz, in the
// order of CallerAddresses.
func (m *Manager) ReadyAddresses() []string { return m.routerAddresses(portAdmin) }

// routerAddresses returns the addresses of all routers with this port.
func (m *Manager) routerAddresses(port int) []string {
	routers, _, _ := m.options.instances()
	var addresses []string
	for _, p := range routers {
		addresses = append(addresses, p.address(port))
	}
	return addresses
}

// EngineAddresses returns the addresses of the engines themselves, without their agents.
func (m *Manager) EngineAddresses() []string {
	_, engines, _ := m.options.instances()
	var addresses []string
	for _, p := range engines {
		addresses = append(addresses, p.address(portUpstream))
	}
	return addresses
}

// Start starts all processes and publishes the configuration. It returns when
// every router and agent is ready. The caller must call Stop also after an error.
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
	if err := m.waitForAll(ctx, "/healthz", healthTimeout); err != nil {
		return err
	}
	if err := m.publish(ctx, "fleet", m.options.configDocuments()); err != nil {
		return err
	}
	return m.waitForAll(ctx, "/readyz", readyTimeout)
}

// startStandin starts the process with the stand-ins of the platform, the engines and
// the services, and waits until it is healthy.
func (m *Manager) startStandin(ctx context.Context) error {
	process, err := m.newProcess("standin", "greengage-standin", m.options.standinSettings())
	if err != nil {
		return err
	}
	m.standin = process
	if err := process.start(); err != nil {
		return err
	}
	return m.waitForOK(ctx, m.options.standinAddress(portStandin), "/healthz", healthTimeout)
}

// startRelays starts in this process one relay for each router and agent, which adds
// the delay between zones.
func (m *Manager) startRelays() error {
	if m.options.WithoutRelays {
		return nil
	}
	routers, engines, services := m.options.instances()
	for _, group := range [][]instance{routers, engines, services} {
		for _, p := range group {
			r, err := relay.New(relay.Options{
				Listen: p.address(portRelay),
				Target: p.address(portInner),
				Delay:  m.options.Scenario.OneWayZoneDelay,
				Zone:   zoneOfIP,
			})
			if err != nil {
				return err
			}
			m.relays = append(m.relays, r)
		}
	}
	return nil
}

// startProcesses starts the routers, then the agents of engines, then those of services.
func (m *Manager) startProcesses() error {
	routers, engines, services := m.options.instances()
	for _, p := range routers {
		if err := m.startProcess(&m.routers, p.name, "greengage-router", m.options.routerSettings(p)); err != nil {
			return err
		}
	}
	for _, p := range engines {
		if err := m.startProcess(&m.agents, p.name, "greengage-agent", m.options.agentSettings(p, "engine")); err != nil {
			return err
		}
	}
	for _, p := range services {
		if err := m.startProcess(&m.agents, p.name, "greengage-agent", m.options.agentSettings(p, "service")); err != nil {
			return err
		}
	}
	return nil
}

// startProcess starts a process and adds it to a group, also if the start fails.
func (m *Manager) startProcess(group *[]*process, name, program, settings string) error {
	process, err := m.newProcess(name, program, settings)
	if err != nil {
		return err
	}
	*group = append(*group, process)
	return process.start()
}

// newProcess writes the settings file of a process that is not started yet.
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
		failures: m.failures,
	}, nil
}

// waitForAll waits until each router and agent answers 200 at a path of its admin
// listener. The timeout counts anew for each process.
func (m *Manager) waitForAll(ctx context.Context, path string, timeout time.Duration) error {
	routers, engines, services := m.options.instances()
	for _, group := range [][]instance{routers, engines, services} {
		for _, p := range group {
			if err := m.waitForOK(ctx, p.address(portAdmin), path, timeout); err != nil {
				return err
			}
		}
	}
	return nil
}

// waitForOK polls a path until it answers 200. It fails at the timeout, when ctx ends
// or when any process exits unexpectedly.
func (m *Manager) waitForOK(ctx context.Context, address, path string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		if m.respondsOK(ctx, address, path) {
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

// respondsOK reports whether a GET request for the path is answered with 200.
func (m *Manager) respondsOK(ctx context.Context, address, path string) bool {
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

// publish commits objects with greengagectl. It tries the routers in turn, at most
// publishAttempts times in all, until one accepts the publication.
func (m *Manager) publish(ctx context.Context, name string, documents []configDocument) error {
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
		time.Sleep(publishRetryDelay)
	}
	return fault.Wrap(fmt.Errorf("%w: %s", err, output), "publish", name)
}

// WithdrawKey publishes the withdrawal of the API key that WithdrawnSecret returns.
func (m *Manager) WithdrawKey(ctx context.Context) error {
	key := keyDocument("to-withdraw", m.options.WithdrawnSecret(), m.options.Scenario.CustomerName(0), object.KeyWithdrawn)
	return m.publish(ctx, "withdraw", []configDocument{key})
}

// RestartRouter stops a router gracefully, starts it again and waits until it is ready.
func (m *Manager) RestartRouter(ctx context.Context, index int) error {
	router := m.routers[index]
	if err := router.stop(processStopTimeout); err != nil {
		return err
	}
	if err := router.start(); err != nil {
		return err
	}
	return m.waitForOK(ctx, m.ReadyAddresses()[index], "/readyz", readyTimeout)
}

// KillRouter kills a router with SIGKILL and starts it again at once. It does not wait
// until the router is ready.
func (m *Manager) KillRouter(index int) error {
	m.routers[index].kill()
	return m.routers[index].start()
}

// KillAgent kills an agent with SIGKILL and starts it again at once, without waiting
// until it is ready. The agents of engines come before those of services.
func (m *Manager) KillAgent(index int) error {
	m.agents[index].kill()
	return m.agents[index].start()
}

// ProcessCount returns the number of routers and agents.
func (m *Manager) ProcessCount() int { return len(m.routers) + len(m.agents) }

// ProcessorTime returns the processor time that all routers and all agents have
// used since their first start.
func (m *Manager) ProcessorTime() (routers, agents time.Duration) {
	for _, p := range m.routers {
		routers += p.processorTime()
	}
	for _, p := range m.agents {
		agents += p.processorTime()
	}
	return routers, agents
}

// Stop stops all processes gracefully: routers and agents first, since they use the
// relays and the stand-ins. The returned error joins the errors of all processes
// that did not stop gracefully.
func (m *Manager) Stop() error {
	errs := []error{stopAll(m.routers), stopAll(m.agents)}
	for _, r := range m.relays {
		r.Close()
	}
	if m.standin != nil {
		errs = append(errs, m.standin.stop(processStopTimeout))
	}
	return errors.Join(errs...)
}

// stopAll stops processes concurrently and joins their errors.
func stopAll(processes []*process) error {
	errs := make([]error, len(processes))
	var stops sync.WaitGroup
	for i, p := range processes {
		stops.Go(func() { errs[i] = p.stop(processStopTimeout) })
	}
	stops.Wait()
	return errors.Join(errs...)
}
