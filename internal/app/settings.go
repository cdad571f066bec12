// Package app assembles the long-running programs (router, agent and gateway) from
// their parts with fx, and defines their settings. fx runs the start hooks in the order
// in which the parts are constructed, and the stop hooks in reverse, so the order of the
// invoked functions decides what starts last and stops first. The package does little
// between start and stop: in a gateway it checks the age of the evidence and closes idle
// connections several times a second, follows changes of the platform's lists, composes
// updates for peers, and computes gauges when the metrics are read.
package app

import (
	"errors"
	"net"
	"runtime"
	"time"

	"github.com/greengagegate/greengagegate/internal/node"
	"github.com/greengagegate/greengagegate/internal/picker"
	"github.com/greengagegate/greengagegate/internal/router"
	"github.com/greengagegate/greengagegate/internal/settings"
	"github.com/greengagegate/greengagegate/internal/tlsconf"
	"github.com/greengagegate/greengagegate/placement/prefix"
)

// Default values of Runtime.Threads.
const (
	defaultAgentThreads  = 1
	defaultRouterThreads = 4
)

// Store holds the settings of the platform's store.
type Store struct {
	// URL is the base address of the store, such as "http://10.0.0.5:7400".
	URL string `ini:"url,required"`
}

// Membership holds the settings of the membership protocol between processes.
type Membership struct {
	// Listen is the IP address and UDP port for datagrams.
	Listen string `ini:"listen,required"`
	// Seeds are the datagram addresses of some other processes.
	Seeds []string `ini:"seeds"`
	// Key is the secret that authenticates datagrams, shared by the fleet.
	Key string `ini:"key,required"`
}

// minMembershipKeyBytes is the least length of a key that resists guessing.
const minMembershipKeyBytes = 16

// Validate implements settings.Validator.
func (m *Membership) Validate() (string, error) {
	if len(m.Key) < minMembershipKeyBytes {
		return "key", errors.New("must be at least 16 bytes long")
	}
	for _, seed := range append([]string{m.Listen}, m.Seeds...) {
		if err := checkAddress(seed); err != nil {
			return "seeds", err
		}
	}
	return "", nil
}

// Admin holds the settings of the listener for health checks, metrics and profiles.
type Admin struct {
	Listen string `ini:"listen,required"`
}

// Validate implements settings.Validator.
func (a *Admin) Validate() (string, error) { return "listen", checkAddress(a.Listen) }

// Stop holds the settings of a graceful stop.
type Stop struct {
	// DrainDelay is how long a stopping process still accepts new requests, so that load
	// balancers and routers notice the stop before it rejects any.
	DrainDelay time.Duration `ini:"drain_delay"`
	// Timeout bounds the whole stop.
	Timeout time.Duration `ini:"timeout"`
}

// Validate implements settings.Validator.
func (s *Stop) Validate() (string, error) {
	if s.Timeout <= s.DrainDelay {
		return "timeout", errors.New("must be longer than drain_delay")
	}
	return "", nil
}

func defaultStop() Stop {
	return Stop{DrainDelay: 3 * time.Second, Timeout: 150 * time.Second}
}

// Runtime holds the settings of the Go runtime.
type Runtime struct {
	// Threads bounds the threads that run Go code at the same time (GOMAXPROCS). 0
	// keeps the default of the Go runtime, the number of cores.
	Threads int `ini:"threads"`
}

// Validate implements settings.Validator.
func (r *Runtime) Validate() (string, error) {
	if r.Threads < 0 {
		return "threads", errors.New("must not be negative")
	}
	return "", nil
}

// Apply lowers GOMAXPROCS to Threads; it never raises it.
func (r *Runtime) Apply() {
	if r.Threads > 0 && r.Threads < runtime.GOMAXPROCS(0) {
		runtime.GOMAXPROCS(r.Threads)
	}
}

// Common holds the settings that routers and agents share.
type Common struct {
	Identity   node.Identity
	Inner      node.Inner
	InnerTLS   tlsconf.Files
	Store      Store
	Membership Membership
	Admin      Admin
	Memory     Memory
	Stop       Stop
	Runtime    Runtime
}

// sections returns the shared sections. identity names the section of the identity,
// which differs between routers and agents.
func (c *Common) sections(identity string) []settings.Section {
	return []settings.Section{
		{Name: identity, Target: &c.Identity},
		{Name: "inner", Target: &c.Inner},
		{Name: "inner_tls", Target: &c.InnerTLS},
		{Name: "store", Target: &c.Store},
		{Name: "membership", Target: &c.Membership},
		{Name: "admin", Target: &c.Admin},
		{Name: "memory", Target: &c.Memory},
		{Name: "stop", Target: &c.Stop},
		{Name: "runtime", Target: &c.Runtime},
	}
}

// StopTimeout returns the longest time that a graceful stop may take.
func (c *Common) StopTimeout() time.Duration { return c.Stop.Timeout }

// Operators holds the settings of the operators' API.
type Operators struct {
	Listen string `ini:"listen,required"`
}

// Validate implements settings.Validator.
func (o *Operators) Validate() (string, error) { return "listen", checkAddress(o.Listen) }

// Placement holds the settings for choosing an upstream.
type Placement struct {
	// Policy is one of random, least-loaded, hash, probe-all and prefix.
	Policy string `ini:"policy"`
	// Import allows copying cache blocks from the cache store.
	Import bool `ini:"import"`
	// HomeBlocks is the number of leading blocks of a prompt that select its home
	// upstreams.
	HomeBlocks int `ini:"home_blocks"`
	// ZoneDelay is the round-trip time to another zone.
	ZoneDelay time.Duration `ini:"zone_delay"`
}

// Validate implements settings.Validator.
func (p *Placement) Validate() (string, error) {
	if p.HomeBlocks < 1 {
		return "home_blocks", errors.New("must be at least 1")
	}
	_, err := picker.New(picker.Options{Policy: p.Policy})
	return "policy", err
}

// RouterSettings holds all settings of a router.
type RouterSettings struct {
	Common
	CallersListen CallersListen
	Limits        router.Limits
	CallersTLS    tlsconf.Files
	Operators     Operators
	OperatorsTLS  tlsconf.Files
	Placement     Placement
}

// CallersListen holds the address of the callers' listener.
type CallersListen struct {
	Listen string `ini:"listen,required"`
}

// Validate implements settings.Validator.
func (c *CallersListen) Validate() (string, error) { return "listen", checkAddress(c.Listen) }

// NewRouterSettings returns the settings with their defaults.
func NewRouterSettings() *RouterSettings {
	return &RouterSettings{
		Common:    Common{Stop: defaultStop(), Runtime: Runtime{Threads: defaultRouterThreads}},
		Limits:    router.DefaultLimits(),
		Placement: Placement{Policy: picker.PolicyPrefix, Import: true, HomeBlocks: prefix.DefaultOptions().HomeBlocks, ZoneDelay: time.Millisecond},
	}
}

// Sections returns the sections of a settings file with the structures that they fill.
func (s *RouterSettings) Sections() []settings.Section {
	return append(
		s.sections("router"),
		settings.Section{Name: "callers", Target: &s.CallersListen},
		settings.Section{Name: "limits", Target: &s.Limits},
		settings.Section{Name: "callers_tls", Target: &s.CallersTLS},
		settings.Section{Name: "operators", Target: &s.Operators},
		settings.Section{Name: "operators_tls", Target: &s.OperatorsTLS},
		settings.Section{Name: "placement", Target: &s.Placement},
	)
}

// Upstream holds the settings of the upstream that an agent serves.
type Upstream struct {
	// Name is the Upstream object's name.
	Name string `ini:"name,required"`
	// Kind is engine or service.
	Kind string `ini:"kind,required"`
	// URL is the base address of the upstream on the agent's host.
	URL string `ini:"url,required"`
}

// Validate implements settings.Validator.
func (u *Upstream) Validate() (string, error) {
	if u.Kind != "engine" && u.Kind != "service" {
		return "kind", errors.New("must be engine or service")
	}
	return "", nil
}

// AgentSettings holds all settings of an agent.
type AgentSettings struct {
	Common
	Upstream Upstream
}

// NewAgentSettings returns the settings with their defaults.
func NewAgentSettings() *AgentSettings {
	return &AgentSettings{Common: Common{Stop: defaultStop(), Runtime: Runtime{Threads: defaultAgentThreads}}}
}

// Sections returns the sections of a settings file with the structures that they fill.
func (s *AgentSettings) Sections() []settings.Section {
	return append(s.sections("agent"), settings.Section{Name: "upstream", Target: &s.Upstream})
}

// checkAddress requires an IP address with a port; host names are rejected.
func checkAddress(address string) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return err
	}
	if net.ParseIP(host) == nil {
		return errors.New("not an IP number: " + host)
	}
	return nil
}
