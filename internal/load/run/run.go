// Package run measures one scenario with one policy, from the start of the
// processes to their stop.
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
	// startDelay lets the processes settle between ready and the first arrival.
	startDelay    = time.Second
	progressEvery = 10 * time.Second
	// settleTime is how long callers may still wait after the last arrival.
	settleTime = 90 * time.Second
	statsTries = 3
)

// Options describes a run.
type Options struct {
	Scenario scenario.Scenario
	Policy   string
	Import   bool
	Seed     uint64
	Warmup   time.Duration
	Measured time.Duration
	Surge    bool
	Faults   []faultinject.Kind
	BinDir   string
	// Net is the second octet of the processes' IP numbers.
	Net int
	Log zerolog.Logger
}

// Entry is the outcome of a run.
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
	// RouterCPU and AgentCPU are processor seconds of all routers and agents in the measured part.
	RouterCPU float64 `json:"router_cpu_seconds"`
	AgentCPU  float64 `json:"agent_cpu_seconds"`
	// TokenEvents counts the tokens that callers received in it.
	TokenEvents int64 `json:"token_events"`
}

// Run measures once. An error means that a process failed to start, ended by
// itself or did not stop gracefully; the entry then holds what was measured.
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
	planOptions.Shifts = faultinject.Shifts(o.Faults, planOptions)
	plan := scenario.NewPlan(o.Scenario, planOptions)
	fleetOptions := o.fleetOptions(plan, workDir)
	processes := fleet.New(fleetOptions, o.Log)
	defer func() { err = errors.Join(err, processes.Stop()) }()
	o.Log.Info().Str("scenario", o.Scenario.Name).Str("policy", o.Policy).Msg("load: starting processes")
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
	m.disturber = faultinject.New(faultinject.Options{
		Kinds:   o.Faults,
		Plan:    plan,
		Fleet:   processes,
		Client:  m.client,
		Callers: processes.CallerAddresses(),
		Secret:  fleetOptions.RevokedSecret(),
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

// measurement is a run in progress.
type measurement struct {
	options   Options
	plan      *scenario.Plan
	fleet     *fleet.Manager
	client    *client.Manager
	disturber *faultinject.Manager

	atWarm, atEnd snapshot
	warmErr       error
}

// snapshot is what counted up to a moment.
type snapshot struct {
	stats           host.Stats
	routers, agents time.Duration
}

func (m *measurement) run(ctx context.Context) (Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, startDelay+m.plan.Options.Length()+settleTime)
	defer cancel()
	failed := make(chan error, 1)
	go func() {
		select {
		case err := <-m.fleet.Failures():
			failed <- err
			cancel()
		case <-ctx.Done():
		}
	}()
	started := time.Now().Add(startDelay)
	faults := make(chan faultinject.Report, 1)
	go func() { faults <- m.disturber.Run(ctx, started) }()
	warm := make(chan struct{})
	go func() {
		defer close(warm)
		m.atWarm, m.warmErr = m.snapshotAt(ctx, started.Add(m.plan.Options.Warmup))
	}()
	go m.progress(ctx, started)
	m.client.Run(ctx, started)
	<-warm
	report := <-faults
	select {
	case err := <-failed:
		return Entry{}, err
	default:
	}
	var err error
	m.atEnd, err = m.snapshotAt(ctx, time.Now())
	if err = errors.Join(m.warmErr, err); err != nil {
		return Entry{}, err
	}
	return m.entry(report), nil
}

func (m *measurement) snapshotAt(ctx context.Context, at time.Time) (snapshot, error) {
	if err := pause.For(ctx, time.Until(at)); err != nil {
		return snapshot{}, err
	}
	var s snapshot
	var err error
	for range statsTries {
		if s.stats, err = m.fleet.Stats(ctx); err == nil {
			break
		}
	}
	s.routers, s.agents = m.fleet.ProcessorTime()
	return s, err
}

// progress logs how far the run has come.
func (m *measurement) progress(ctx context.Context, started time.Time) {
	ticker := time.NewTicker(progressEvery)
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
				Msg("load: running")
		case <-ctx.Done():
			return
		}
	}
}

func (m *measurement) entry(report faultinject.Report) Entry {
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
		Figures: evaluate.Judge(evaluate.Input{
			Plan:      m.plan,
			Prompts:   prompts,
			Charges:   charges,
			AtWarm:    m.atWarm.stats,
			AtEnd:     m.atEnd.stats,
			CrashedAt: report.CrashedAt,
		}),
		RouterCPU: (m.atEnd.routers - m.atWarm.routers).Seconds(),
		AgentCPU:  (m.atEnd.agents - m.atWarm.agents).Seconds(),
	}
	for _, r := range prompts {
		if r.Prompt.At >= m.plan.Options.Warmup {
			entry.TokenEvents += r.Tokens
		}
	}
	return entry
}
