// Package run measures one scenario with one placement policy. A run starts the
// processes of a fleet, sends the planned load, injects faults and stops the
// processes again.
package run

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/greengagegate/greengagegate/internal/load/client"
	"github.com/greengagegate/greengagegate/internal/load/evaluate"
	"github.com/greengagegate/greengagegate/internal/load/faultinject"
	"github.com/greengagegate/greengagegate/internal/load/fleet"
	"github.com/greengagegate/greengagegate/internal/load/scenario"
	"github.com/greengagegate/greengagegate/internal/pause"
	"github.com/greengagegate/greengagegate/internal/standin/host"
	"github.com/rs/zerolog"
)

const (
	// startDelay is the time between the readiness of all processes and the start of
	// the run, in which the processes settle.
	startDelay       = time.Second
	progressInterval = 10 * time.Second
	// drainTimeout is how long requests and fault injection may still take after the
	// last arrival. After that the run fails.
	drainTimeout  = 90 * time.Second
	statsAttempts = 3
)

// Options describes a run. Warmup is the duration before the measured part, Measured
// that of the measured part.
type Options struct {
	Scenario scenario.Scenario
	Policy   string
	// Import is true if engines may copy blocks from the cache store.
	Import   bool
	Seed     uint64
	Warmup   time.Duration
	Measured time.Duration
	Surge    bool
	Faults   []faultinject.Kind
	BinDir   string
	// Net is the second octet of the processes' IP addresses.
	Net int
	Log zerolog.Logger
}

// Entry is the result of a run, as it is written to result files.
type Entry struct {
	Scenario string             `json:"scenario"`
	Policy   string             `json:"policy"`
	Seed     uint64             `json:"seed"`
	Import   bool               `json:"import"`
	Surge    bool               `json:"surge,omitempty"`
	Faults   []faultinject.Kind `json:"faults,omitempty"`
	Seconds  float64            `json:"measured_seconds"`
	evaluate.Figures
	faultinject.Report
	// RouterCPU and AgentCPU are the processor seconds that all routers and all agents
	// used from the end of the warm-up to the end of the run.
	RouterCPU float64 `json:"router_cpu_seconds"`
	AgentCPU  float64 `json:"agent_cpu_seconds"`
	// Tokens is the number of tokens that callers received for prompts that arrived in
	// the measured part. Engines send each token as one event.
	Tokens int64 `json:"token_events"`
}

// Run performs one run. It fails if a process does not start, exits unexpectedly or
// does not stop gracefully, and if the counters of the stand-ins cannot be read. If
// only the stop fails, the entry holds the figures; after other errors it is empty.
// The directory with the logs is kept after an error and removed otherwise.
func Run(ctx context.Context, o Options) (entry Entry, err error) {
	workDir, err := os.MkdirTemp("", "greengage-load-")
	if err != nil {
		return Entry{}, err
	}
	defer func() {
		if err != nil {
			err = fmt.Errorf("%w (logs in %s)", err, workDir)
			return
		}
		_ = os.RemoveAll(workDir)
	}()
	planOptions := scenario.PlanOptions{Seed: o.Seed, Warmup: o.Warmup, Measured: o.Measured, Surge: o.Surge}
	planOptions.ExtraShuffles = faultinject.Shifts(o.Faults, planOptions)
	plan := scenario.NewPlan(o.Scenario, planOptions)
	fleetOptions := o.fleetOptions(plan, workDir)
	processes := fleet.New(fleetOptions, o.Log)
	defer func() { err = errors.Join(err, processes.Stop()) }()
	o.Log.Info().Str("scenario", o.Scenario.Name).Str("policy", o.Policy).Msg("load: starting the processes of the fleet")
	if err := processes.Start(ctx); err != nil {
		return Entry{}, err
	}
	m := &measurement{options: o, plan: plan, fleet: processes}
	m.client = client.New(client.Options{
		Plan:    plan,
		Secret:  fleetOptions.Secret,
		Callers: processes.CallerAddresses(),
		Admin:   processes.ReadyAddresses(),
	})
	m.faultInjector = faultinject.New(faultinject.Options{
		Kinds:   o.Faults,
		Plan:    plan,
		Fleet:   processes,
		Client:  m.client,
		Callers: processes.CallerAddresses(),
		Secret:  fleetOptions.WithdrawnSecret(),
		Log:     o.Log,
	})
	return m.run(ctx)
}

func (o Options) fleetOptions(plan *scenario.Plan, workDir string) fleet.Options {
	return fleet.Options{
		Scenario:    o.Scenario,
		Policy:      o.Policy,
		Import:      o.Import,
		Rates:       plan.Rates,
		Bursts:      plan.Bursts,
		Seed:        o.Seed,
		BinDir:      o.BinDir,
		WorkDir:     workDir,
		Net:         o.Net,
		PrefillRate: fleet.DefaultPrefillRate,
		DecodeBase:  fleet.DefaultDecodeBase,
	}
}

// measurement is the state of a run whose processes are ready.
type measurement struct {
	options       Options
	plan          *scenario.Plan
	fleet         *fleet.Manager
	client        *client.Manager
	faultInjector *faultinject.Manager

	warmupSnapshot, endSnapshot snapshot
	warmupErr                   error
}

// snapshot holds the counters of the stand-ins and the processor times up to a moment.
type snapshot struct {
	stats                 host.Stats
	routerTime, agentTime time.Duration
}

// run sends the load, injects the faults and takes snapshots at the end of the
// warm-up and of the run. It is cancelled when a process exits unexpectedly.
func (m *measurement) run(ctx context.Context) (Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, startDelay+m.plan.Options.Length()+drainTimeout)
	defer cancel()
	processErrors := make(chan error, 1)
	go func() {
		select {
		case err := <-m.fleet.Failures():
			processErrors <- err
			cancel()
		case <-ctx.Done():
		}
	}()
	started := time.Now().Add(startDelay)
	faultReports := make(chan faultinject.Report, 1)
	go func() { faultReports <- m.faultInjector.Run(ctx, started) }()
	warmupDone := make(chan struct{})
	go func() {
		defer close(warmupDone)
		m.warmupSnapshot, m.warmupErr = m.takeSnapshotAt(ctx, started.Add(m.plan.Options.Warmup))
	}()
	go m.logProgress(ctx, started)
	m.client.Run(ctx, started)
	<-warmupDone
	report := <-faultReports
	select {
	case err := <-processErrors:
		return Entry{}, err
	default:
	}
	var err error
	m.endSnapshot, err = m.takeSnapshotAt(ctx, time.Now())
	if err = errors.Join(m.warmupErr, err); err != nil {
		return Entry{}, err
	}
	return m.newEntry(report), nil
}

// takeSnapshotAt blocks until the given time and takes a snapshot. It tries
// statsAttempts times to read the counters of the stand-ins.
func (m *measurement) takeSnapshotAt(ctx context.Context, at time.Time) (snapshot, error) {
	if err := pause.For(ctx, time.Until(at)); err != nil {
		return snapshot{}, err
	}
	var s snapshot
	var err error
	for range statsAttempts {
		if s.stats, err = m.fleet.Stats(ctx); err == nil {
			break
		}
	}
	s.routerTime, s.agentTime = m.fleet.ProcessorTime()
	return s, err
}

// logProgress logs the number of finished requests at each interval until ctx ends.
func (m *measurement) logProgress(ctx context.Context, started time.Time) {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			prompts, charges := m.client.Results()
			m.options.Log.Info().
				Str("scenario", m.options.Scenario.Name).
				Str("policy", m.options.Policy).
				Int("second", int(time.Since(started).Seconds())).
				Int("prompts", len(prompts)).
				Int("charges", len(charges)).
				Msg("load: run in progress; prompts and charges count the requests ended so far")
		case <-ctx.Done():
			return
		}
	}
}

// newEntry computes the figures of the run from the results and both snapshots.
func (m *measurement) newEntry(report faultinject.Report) Entry {
	prompts, charges := m.client.Results()
	entry := Entry{
		Scenario: m.options.Scenario.Name,
		Policy:   m.options.Policy,
		Seed:     m.options.Seed,
		Import:   m.options.Import,
		Surge:    m.options.Surge,
		Faults:   m.options.Faults,
		Seconds:  m.plan.Options.Measured.Seconds(),
		Report:   report,
		Figures: evaluate.Evaluate(evaluate.Input{
			Plan:        m.plan,
			Prompts:     prompts,
			Charges:     charges,
			AtWarmupEnd: m.warmupSnapshot.stats,
			AtEnd:       m.endSnapshot.stats,
			CrashedAt:   report.CrashedAt,
		}),
		RouterCPU: (m.endSnapshot.routerTime - m.warmupSnapshot.routerTime).Seconds(),
		AgentCPU:  (m.endSnapshot.agentTime - m.warmupSnapshot.agentTime).Seconds(),
	}
	for _, result := range prompts {
		if result.Prompt.At >= m.plan.Options.Warmup {
			entry.Tokens += result.Tokens
		}
	}
	return entry
}
