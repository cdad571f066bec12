// Package faultinject injects faults into a measured run. The seed of the run
// determines the times of the faults and the processes that they hit.
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

// Kind is the kind of an injected fault.
type Kind string

// The kinds of faults.
const (
	// Crash crashes one engine and one service at random times, every 8 s on average.
	Crash Kind = "crash"
	// Quarter crashes a quarter of the engines at once, after a third of the measured
	// part of the run.
	Quarter Kind = "quarter"
	// Outage makes the platform store unavailable, then slow, then makes it lose
	// answers, and finally restores it.
	Outage Kind = "outage"
	// Restart restarts one router gracefully every 10 s, in turn.
	Restart Kind = "restart"
	// Kill kills one agent or router every 6 s, without a graceful stop, and starts
	// it again.
	Kill Kind = "kill"
	// Revoke withdraws a key that is in use.
	Revoke Kind = "revoke"
	// Shift changes the popularity ranks of all documents at once, two times.
	Shift Kind = "shift"
	// Poison sends a request that crashes each engine that runs it, 20 times in sequence.
	Poison Kind = "poison"
	// LatePoison is Poison with a request that crashes engines after 6 tokens.
	LatePoison Kind = "late-poison"
	// PoisonBurst is Poison with all 20 requests sent at the same time.
	PoisonBurst Kind = "poison-burst"
	// LatePoisonBurst is LatePoison with all 20 requests sent at the same time.
	LatePoisonBurst Kind = "late-poison-burst"
)

// Kinds lists all kinds of faults, in the order in which they draw their random times.
var Kinds = []Kind{Crash, Quarter, Outage, Restart, Revoke, Shift, Poison, Kill, LatePoison, PoisonBurst, LatePoisonBurst}

const (
	// crashMeanInterval is the mean of an exponential distribution.
	crashMeanInterval = 8 * time.Second
	restartInterval   = 10 * time.Second
	killInterval      = 6 * time.Second
	slowLatencyMs     = 400
	lostAnswerCount   = 5
	shiftCount        = 2

	// Streams of random numbers of the seed.
	streamEventTimes = 101
	streamShifts     = 102
)

// Parse converts names to kinds. It returns an error for an unknown name.
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

// Shifts returns the times at which the plan changes the ranks of the documents.
// It returns nil if kinds does not contain Shift.
func Shifts(kinds []Kind, o scenario.PlanOptions) []time.Duration {
	if !slices.Contains(kinds, Shift) {
		return nil
	}
	random := rand.New(rand.NewPCG(o.Seed, streamShifts))
	var times []time.Duration
	for range shiftCount {
		times = append(times, o.Warmup+time.Duration(random.Float64()*float64(o.Measured)))
	}
	return times
}

// Report holds the results of the injected faults.
type Report struct {
	// CrashedAt is the time in the run at which a quarter of the engines crashed,
	// 0 if they did not.
	CrashedAt time.Duration `json:"-"`
	// PoisonSent counts the poison requests that were sent, PoisonCodes their
	// results by outcome and error code.
	PoisonSent  int            `json:"poison_sent,omitempty"`
	PoisonCodes map[string]int `json:"poison_codes,omitempty"`
	// RevokeMs is how long a key was still accepted after its withdrawal was
	// published, in milliseconds. It is 0 if no call succeeded after the
	// withdrawal, and nil if the fault was not injected.
	RevokeMs *float64 `json:"revoke_ms,omitempty"`
	// RevokeUses counts all calls with the key that were accepted.
	RevokeUses int `json:"revoke_uses,omitempty"`
	// Errors lists the faults that could not be injected, with the reason.
	Errors []string `json:"fault_errors,omitempty"`
}

// Options configures the faults of a run.
type Options struct {
	Kinds  []Kind
	Plan   *scenario.Plan
	Fleet  *fleet.Manager
	Client *client.Manager
	// Callers are the routers' addresses for callers, Secret is the secret of the
	// key to withdraw.
	Callers []string
	Secret  string
	Log     zerolog.Logger
}

// Manager injects the faults of one run.
type Manager struct {
	options Options
	random  *rand.Rand

	mu     sync.Mutex
	report Report
}

// New returns a manager for the faults of a run. Run starts them.
func New(options Options) *Manager {
	return &Manager{
		options: options,
		random:  rand.New(rand.NewPCG(options.Plan.Options.Seed, streamEventTimes)),
		report:  Report{PoisonCodes: make(map[string]int)},
	}
}

// event is one fault, injected at a time that counts from the start of the run.
type event struct {
	at     time.Duration
	name   string
	inject func(ctx context.Context) error
}

// Run injects all faults at their times, which count from started, and blocks
// until the last one has ended. No fault starts after ctx is done. Run is called
// once.
func (m *Manager) Run(ctx context.Context, started time.Time) Report {
	events := m.schedule()
	sort.SliceStable(events, func(i, j int) bool { return events[i].at < events[j].at })
	var wg sync.WaitGroup
	for _, e := range events {
		wg.Go(func() { m.runEvent(ctx, started, e) })
	}
	wg.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.report
}

// runEvent waits for the time of an event and injects its fault. An error is
// logged and recorded in the report unless ctx is done.
func (m *Manager) runEvent(ctx context.Context, started time.Time, e event) {
	if pause.For(ctx, time.Until(started.Add(e.at))) != nil {
		return
	}
	m.options.Log.Info().Str("fault", e.name).Dur("at", e.at).Msg("load: injecting a fault")
	if err := e.inject(ctx); err != nil && ctx.Err() == nil {
		m.options.Log.Error().Err(err).Str("fault", e.name).Msg("load: could not inject a fault; the run continues without it")
		m.mu.Lock()
		defer m.mu.Unlock()
		m.report.Errors = append(m.report.Errors, e.name+": "+err.Error())
	}
}

// schedule returns the events of the configured kinds.
func (m *Manager) schedule() []event {
	var events []event
	for _, kind := range Kinds {
		// Kinds that are not configured draw their times as well, so that the choice
		// of kinds does not change the times of the other kinds.
		drawn := m.eventsOf(kind)
		if slices.Contains(m.options.Kinds, kind) {
			events = append(events, drawn...)
		}
	}
	return events
}

// eventsOf draws the events of one kind. Shift has none: the plan contains it.
func (m *Manager) eventsOf(kind Kind) []event {
	switch kind {
	case Crash:
		return m.crashEvents()
	case Quarter:
		return m.quarterCrashEvents()
	case Outage:
		return m.outageEvents()
	case Restart:
		return m.restartEvents()
	case Kill:
		return m.killEvents()
	case Revoke:
		return []event{{m.randomTime(0.3, 0.6), "revoke", m.revoke}}
	case Poison:
		return []event{{m.randomTime(0.2, 0.4), "poison", func(ctx context.Context) error { return m.poison(ctx, "") }}}
	case LatePoison:
		return []event{{m.randomTime(0.2, 0.4), "late-poison", func(ctx context.Context) error { return m.poison(ctx, latePoisonSuffix) }}}
	case PoisonBurst:
		return []event{{m.randomTime(0.2, 0.4), "poison-burst", func(ctx context.Context) error { return m.poisonBurst(ctx, "") }}}
	case LatePoisonBurst:
		return []event{{m.randomTime(0.2, 0.4), "late-poison-burst", func(ctx context.Context) error { return m.poisonBurst(ctx, latePoisonSuffix) }}}
	default:
		return nil
	}
}

// randomTime draws a time between two fractions of the measured part of the run.
func (m *Manager) randomTime(from, to float64) time.Duration {
	o := m.options.Plan.Options
	fraction := from + m.random.Float64()*(to-from)
	return o.Warmup + time.Duration(fraction*float64(o.Measured))
}

// crashEvents returns crashes with exponentially distributed intervals. Each hits
// one engine and one service.
func (m *Manager) crashEvents() []event {
	o := m.options.Plan.Options
	s := m.options.Plan.Scenario
	var events []event
	for at := o.Warmup; ; {
		at += time.Duration(m.random.ExpFloat64() * float64(crashMeanInterval))
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

func (m *Manager) quarterCrashEvents() []event {
	o := m.options.Plan.Options
	at := o.Warmup + o.Measured/3
	permutation := m.random.Perm(m.options.Plan.Scenario.Engines)
	return []event{{at, "crash a quarter of the engines", func(ctx context.Context) error {
		m.mu.Lock()
		m.report.CrashedAt = at
		m.mu.Unlock()
		for _, engine := range permutation[:len(permutation)/4] {
			if err := m.options.Fleet.CrashEngine(ctx, engine); err != nil {
				return err
			}
		}
		return nil
	}}}
}

// outageEvents returns the store faults in sequence, the last of which restores
// the store.
func (m *Manager) outageEvents() []event {
	set := func(faults host.Faults) func(context.Context) error {
		return func(ctx context.Context) error { return m.options.Fleet.SetPlatformFaults(ctx, faults) }
	}
	return []event{
		{m.randomTime(0.10, 0.20), "store down", set(host.Faults{Down: true})},
		{m.randomTime(0.45, 0.50), "store slow", set(host.Faults{LatencyMs: slowLatencyMs})},
		{m.randomTime(0.60, 0.65), "store loses answers", set(host.Faults{LoseAnswers: lostAnswerCount})},
		{m.randomTime(0.85, 0.90), "store healthy", set(host.Faults{})},
	}
}

func (m *Manager) restartEvents() []event {
	o := m.options.Plan.Options
	routers := m.options.Plan.Scenario.Zones
	var events []event
	for at := o.Warmup + restartInterval/2; at < o.Length(); at += restartInterval {
		router := len(events) % routers
		events = append(events, event{at, fmt.Sprintf("restart router %d", router+1), func(ctx context.Context) error {
			return m.options.Fleet.RestartRouter(ctx, router)
		}})
	}
	return events
}

// killEvents kills in turn the agent of an engine, the agent of a service and a
// router, each chosen at random.
func (m *Manager) killEvents() []event {
	o := m.options.Plan.Options
	s := m.options.Plan.Scenario
	var events []event
	for at := o.Warmup + killInterval/2; at < o.Length(); at += killInterval {
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
