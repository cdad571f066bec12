// Package faultinject brings about the failures of a measured run at times that its
// seed decides.
package faultinject

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/internal/load/client"
	"github.com/greengagegate/greengagegate/internal/load/fleet"
	"github.com/greengagegate/greengagegate/internal/load/scenario"
	"github.com/greengagegate/greengagegate/internal/pause"
	"github.com/greengagegate/greengagegate/internal/standin/host"
	"github.com/greengagegate/greengagegate/internal/standin/plainsvc"
	"github.com/rs/zerolog"
)

// Kind is a kind of failure.
type Kind string

// The kinds of failures.
const (
	// Crash crashes single engines and services now and then.
	Crash Kind = "crash"
	// Quarter crashes a quarter of the engines at once, a third into the run.
	Quarter Kind = "quarter"
	// Outage takes the platform's store away, then slows it, then loses its answers.
	Outage Kind = "outage"
	// Restart restarts a router gracefully every 10 s.
	Restart Kind = "restart"
	// Kill ends agents and routers without notice and starts them again.
	Kill Kind = "kill"
	// Revoke withdraws a key in use.
	Revoke Kind = "revoke"
	// Shift reshuffles all documents' ranks at once.
	Shift Kind = "shift"
	// Poison sends a request that crashes each engine that runs it, many times.
	Poison Kind = "poison"
	// LatePoison is Poison with a request that crashes engines after its first tokens.
	LatePoison Kind = "late-poison"
	// PoisonBurst is Poison with all sendings at the same instant.
	PoisonBurst Kind = "poison-burst"
	// LatePoisonBurst is LatePoison with all sendings at the same instant.
	LatePoisonBurst Kind = "late-poison-burst"
)

// Kinds are all kinds of failures.
var Kinds = []Kind{Crash, Quarter, Outage, Restart, Revoke, Shift, Poison, Kill, LatePoison, PoisonBurst, LatePoisonBurst}

const (
	crashEvery    = 8 * time.Second
	restartEvery  = 10 * time.Second
	killEvery     = 6 * time.Second
	slowLatencyMs = 400
	lostAnswers   = 5
	shifts        = 2

	streamTimes  = 101
	streamShifts = 102
)

// Parse checks the names of kinds.
func Parse(names []string) ([]Kind, error) {
	var kinds []Kind
	for _, name := range names {
		if !slices.Contains(Kinds, Kind(name)) {
			return nil, fmt.Errorf("unknown fault %q", name)
		}
		kinds = append(kinds, Kind(name))
	}
	return kinds, nil
}

// Shifts returns the times of the fault Shift, for the plan.
func Shifts(kinds []Kind, o scenario.PlanOptions) []time.Duration {
	if !slices.Contains(kinds, Shift) {
		return nil
	}
	random := rand.New(rand.NewPCG(o.Seed, streamShifts))
	var times []time.Duration
	for range shifts {
		times = append(times, o.Warmup+time.Duration(random.Float64()*float64(o.Measured)))
	}
	return times
}

// Report is what the failures led to.
type Report struct {
	// CrashedAt is when a quarter of the engines crashed, 0 for never.
	CrashedAt time.Duration `json:"-"`
	// PoisonSent counts the sendings of the poison request, PoisonCodes the answers.
	PoisonSent  int            `json:"poison_sent,omitempty"`
	PoisonCodes map[string]int `json:"poison_codes,omitempty"`
	// RevokeMs is how long a withdrawn key worked after its withdrawal was accepted, 0 when not at all.
	RevokeMs *float64 `json:"revoke_ms,omitempty"`
	// RevokeUses counts the uses of the key before.
	RevokeUses int `json:"revoke_uses,omitempty"`
	// Errors are failures that could not be brought about.
	Errors []string `json:"fault_errors,omitempty"`
}

// Options describes the failures of a run.
type Options struct {
	Kinds  []Kind
	Plan   *scenario.Plan
	Fleet  *fleet.Manager
	Client *client.Manager
	// Callers are the routers' addresses, Secret the key to withdraw.
	Callers []string
	Secret  string
	Log     zerolog.Logger
}

// Manager brings failures about.
type Manager struct {
	options Options
	random  *rand.Rand

	mu     sync.Mutex
	report Report
}

// New prepares the failures.
func New(options Options) *Manager {
	return &Manager{
		options: options,
		random:  rand.New(rand.NewPCG(options.Plan.Options.Seed, streamTimes)),
		report:  Report{PoisonCodes: make(map[string]int)},
	}
}

// event is a failure at a time of the run.
type event struct {
	at   time.Duration
	name string
	do   func(ctx context.Context) error
}

// Run brings all failures about and returns when the last one is over.
func (m *Manager) Run(ctx context.Context, started time.Time) Report {
	events := m.schedule()
	sort.SliceStable(events, func(i, j int) bool { return events[i].at < events[j].at })
	var all sync.WaitGroup
	for _, e := range events {
		all.Go(func() { m.bring(ctx, started, e) })
	}
	all.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.report
}

func (m *Manager) bring(ctx context.Context, started time.Time, e event) {
	if pause.For(ctx, time.Until(started.Add(e.at))) != nil {
		return
	}
	m.options.Log.Info().Str("fault", e.name).Dur("at", e.at).Msg("load: fault")
	if err := e.do(ctx); err != nil && ctx.Err() == nil {
		m.options.Log.Error().Err(err).Str("fault", e.name).Msg("load: fault failed")
		m.mu.Lock()
		defer m.mu.Unlock()
		m.report.Errors = append(m.report.Errors, e.name+": "+err.Error())
	}
}

func (m *Manager) schedule() []event {
	var events []event
	for _, kind := range Kinds {
		// Each kind draws its times in any case, so that one does not shift another.
		planned := m.plan(kind)
		if slices.Contains(m.options.Kinds, kind) {
			events = append(events, planned...)
		}
	}
	return events
}

func (m *Manager) plan(kind Kind) []event {
	switch kind {
	case Crash:
		return m.crashes()
	case Quarter:
		return m.quarter()
	case Outage:
		return m.outage()
	case Restart:
		return m.restarts()
	case Kill:
		return m.kills()
	case Revoke:
		return []event{{m.within(0.3, 0.6), "revoke", m.revoke}}
	case Poison:
		return []event{{m.within(0.2, 0.4), "poison", func(ctx context.Context) error { return m.poison(ctx, "") }}}
	case LatePoison:
		return []event{{m.within(0.2, 0.4), "late-poison", func(ctx context.Context) error { return m.poison(ctx, poisonTokens) }}}
	case PoisonBurst:
		return []event{{m.within(0.2, 0.4), "poison-burst", func(ctx context.Context) error { return m.poisonBurst(ctx, "") }}}
	case LatePoisonBurst:
		return []event{{m.within(0.2, 0.4), "late-poison-burst", func(ctx context.Context) error { return m.poisonBurst(ctx, poisonTokens) }}}
	default:
		return nil
	}
}

// within draws a time between two shares of the measured part.
func (m *Manager) within(from, to float64) time.Duration {
	o := m.options.Plan.Options
	share := from + m.random.Float64()*(to-from)
	return o.Warmup + time.Duration(share*float64(o.Measured))
}

func (m *Manager) crashes() []event {
	o := m.options.Plan.Options
	s := m.options.Plan.Scenario
	var events []event
	for at := o.Warmup; ; {
		at += time.Duration(m.random.ExpFloat64() * float64(crashEvery))
		engine, service := m.random.IntN(s.Engines), m.random.IntN(s.Services)
		point := []plainsvc.CrashPoint{plainsvc.CrashBefore, plainsvc.CrashAfter, plainsvc.CrashNow}[m.random.IntN(3)]
		if at >= o.Length() {
			return events
		}
		events = append(
			events,
			event{at, fmt.Sprintf("crash engine %d", engine+1), func(ctx context.Context) error {
				return m.options.Fleet.CrashEngine(ctx, engine)
			}},
			event{at, fmt.Sprintf("crash service %d %s", service+1, point), func(ctx context.Context) error {
				return m.options.Fleet.CrashService(ctx, service, point)
			}},
		)
	}
}

func (m *Manager) quarter() []event {
	o := m.options.Plan.Options
	at := o.Warmup + o.Measured/3
	order := m.random.Perm(m.options.Plan.Scenario.Engines)
	return []event{{at, "crash a quarter of the engines", func(ctx context.Context) error {
		m.mu.Lock()
		m.report.CrashedAt = at
		m.mu.Unlock()
		for _, engine := range order[:len(order)/4] {
			if err := m.options.Fleet.CrashEngine(ctx, engine); err != nil {
				return err
			}
		}
		return nil
	}}}
}

func (m *Manager) outage() []event {
	set := func(faults host.Faults) func(context.Context) error {
		return func(ctx context.Context) error { return m.options.Fleet.SetPlatformFaults(ctx, faults) }
	}
	return []event{
		{m.within(0.10, 0.20), "store down", set(host.Faults{Down: true})},
		{m.within(0.45, 0.50), "store slow", set(host.Faults{LatencyMs: slowLatencyMs})},
		{m.within(0.60, 0.65), "store loses answers", set(host.Faults{LoseAnswers: lostAnswers})},
		{m.within(0.85, 0.90), "store healthy", set(host.Faults{})},
	}
}

func (m *Manager) restarts() []event {
	o := m.options.Plan.Options
	routers := m.options.Plan.Scenario.Zones
	var events []event
	for at := o.Warmup + restartEvery/2; at < o.Length(); at += restartEvery {
		router := len(events) % routers
		events = append(events, event{at, fmt.Sprintf("restart router %d", router+1), func(ctx context.Context) error {
			return m.options.Fleet.RestartRouter(ctx, router)
		}})
	}
	return events
}

// kills alternates between agents of engines, agents of services and routers.
func (m *Manager) kills() []event {
	o := m.options.Plan.Options
	s := m.options.Plan.Scenario
	var events []event
	for at := o.Warmup + killEvery/2; at < o.Length(); at += killEvery {
		engine, service, router := m.random.IntN(s.Engines), m.random.IntN(s.Services), m.random.IntN(s.Zones)
		switch len(events) % 3 {
		case 0:
			events = append(events, event{at, fmt.Sprintf("kill agent of engine %d", engine+1), func(context.Context) error {
				return m.options.Fleet.KillAgent(engine)
			}})
		case 1:
			events = append(events, event{at, fmt.Sprintf("kill agent of service %d", service+1), func(context.Context) error {
				return m.options.Fleet.KillAgent(s.Engines + service)
			}})
		default:
			events = append(events, event{at, fmt.Sprintf("kill router %d", router+1), func(context.Context) error {
				return m.options.Fleet.KillRouter(router)
			}})
		}
	}
	return events
}
