// Package suite measures all scenarios with all placement policies, one run after the
// other, and writes the results as JSON, Markdown and SVG.
package suite

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"time"

	"github.com/greengagegate/greengagegate/internal/load/faultinject"
	"github.com/greengagegate/greengagegate/internal/load/overhead"
	"github.com/greengagegate/greengagegate/internal/load/report"
	"github.com/greengagegate/greengagegate/internal/load/run"
	"github.com/greengagegate/greengagegate/internal/load/scenario"
	"github.com/rs/zerolog"
)

// ProjectPolicy is the project's own placement policy. The surge and crash runs measure only
// this one.
const ProjectPolicy = "prefix"

// Policies lists the measured placement policies. All of them get the same arrivals.
var Policies = []string{"random", "least-loaded", "hash", "probe-all", ProjectPolicy}

// ImportsByDefault reports whether engines copy blocks from the cache store by default in
// runs of a policy.
func ImportsByDefault(policy string) bool { return policy == "probe-all" || policy == ProjectPolicy }

// Mode determines how many runs the suite makes and how long they take.
type Mode struct {
	Name     string
	Repeats  int
	Warmup   time.Duration
	Measured time.Duration
	// Extras is true if the suite includes the surge, crash and overhead runs.
	Extras bool
}

// The duration of the measured part of the extra runs does not depend on the mode:
// the surge lasts until second 40 and its requests then need time to drain.
const (
	extraMeasured    = 60 * time.Second
	overheadMeasured = 10 * time.Second
)

// ModeNamed returns the mode with this name: quick, normal or full. It fails for any other.
func ModeNamed(name string) (Mode, error) {
	const warmup = 10 * time.Second
	switch name {
	case "quick":
		return Mode{name, 1, warmup, 20 * time.Second, false}, nil
	case "normal":
		return Mode{name, 1, warmup, 40 * time.Second, true}, nil
	case "full":
		return Mode{name, 3, warmup, 60 * time.Second, true}, nil
	default:
		return Mode{}, fmt.Errorf("unknown suite %q", name)
	}
}

// Options configures a suite.
type Options struct {
	Mode   Mode
	Seed   uint64
	BinDir string
	// OutDir is the directory for latest.json, latest.md and latest.svg. It is created
	// if it does not exist.
	OutDir string
	// Commit is the commit that the files name.
	Commit string
	// Net is the second octet of the processes' IP addresses.
	Net int
	Log zerolog.Logger
}

// Run makes all runs of the mode and writes the files. It stops at the first run that
// fails and still writes the results of the runs before it.
func Run(ctx context.Context, o Options) error {
	m := &measurement{options: o, entries: make(map[entryKey][]run.Entry)}
	measureErr := m.measureAll(ctx)
	results, err := m.newResults()
	if err != nil {
		return errors.Join(measureErr, err)
	}
	return errors.Join(measureErr, writeFiles(results, o.OutDir))
}

// entryKey identifies the runs of one scenario with one policy.
type entryKey struct {
	scenario, policy string
}

// measurement holds the results so far.
type measurement struct {
	options  Options
	entries  map[entryKey][]run.Entry
	surges   []run.Entry
	crashes  []run.Entry
	overhead *overhead.Figures
}

// measureAll makes all runs of the mode.
func (m *measurement) measureAll(ctx context.Context) error {
	for repeat := range m.options.Mode.Repeats {
		for _, s := range scenario.All() {
			if err := m.measurePolicies(ctx, s, repeat); err != nil {
				return err
			}
		}
	}
	if !m.options.Mode.Extras {
		return nil
	}
	return m.measureExtras(ctx)
}

// measurePolicies measures a scenario with each policy. The order of the policies is
// rotated by one between repeats. The seed is that of the suite plus the repeat.
func (m *measurement) measurePolicies(ctx context.Context, s scenario.Scenario, repeat int) error {
	for i := range Policies {
		policy := Policies[(i+repeat)%len(Policies)]
		o := m.runOptions(s, policy)
		o.Seed += uint64(repeat)
		entry, err := m.measureRun(ctx, o)
		if err != nil {
			return err
		}
		key := entryKey{s.Name, policy}
		m.entries[key] = append(m.entries[key], entry)
	}
	return nil
}

// measureExtras measures a surge and the crash of a quarter of the engines in each
// scenario, and the overhead of routers and agents.
func (m *measurement) measureExtras(ctx context.Context) error {
	for _, s := range scenario.All() {
		o := m.runOptions(s, ProjectPolicy)
		o.Measured, o.Surge = extraMeasured, true
		entry, err := m.measureRun(ctx, o)
		if err != nil {
			return err
		}
		m.surges = append(m.surges, entry)
	}
	for _, s := range scenario.All() {
		o := m.runOptions(s, ProjectPolicy)
		o.Measured, o.Faults = extraMeasured, []faultinject.Kind{faultinject.Quarter}
		entry, err := m.measureRun(ctx, o)
		if err != nil {
			return err
		}
		m.crashes = append(m.crashes, entry)
	}
	figures, err := overhead.Measure(ctx, overhead.Options{
		Seed: m.options.Seed, Measured: overheadMeasured, BinDir: m.options.BinDir,
		Net: m.options.Net, Log: m.options.Log,
	})
	if err != nil {
		return err
	}
	m.overhead = &figures
	return nil
}

// runOptions returns the options of a run with the seed and durations of the suite.
func (m *measurement) runOptions(s scenario.Scenario, policy string) run.Options {
	return run.Options{
		Scenario: s,
		Policy:   policy,
		Import:   ImportsByDefault(policy),
		Seed:     m.options.Seed,
		Warmup:   m.options.Mode.Warmup,
		Measured: m.options.Mode.Measured,
		BinDir:   m.options.BinDir,
		Net:      m.options.Net,
		Log:      m.options.Log,
	}
}

// measureRun makes one run and logs its main figures.
func (m *measurement) measureRun(ctx context.Context, o run.Options) (run.Entry, error) {
	entry, err := run.Run(ctx, o)
	if err != nil {
		return run.Entry{}, err
	}
	m.options.Log.Info().
		Str("scenario", entry.Scenario).
		Str("policy", entry.Policy).
		Float64("hit_rate", entry.PrefixHitRate).
		Float64("ttft_p95_ms", entry.TTFT95).
		Int("wrongful", entry.WrongfulRefusals).
		Msg("load: run finished")
	return entry, nil
}

// newResults returns the results of the measurement, with a summary of the runs of each
// scenario and policy. It leaves out those without any run.
func (m *measurement) newResults() (*report.Results, error) {
	results := &report.Results{
		Commit:   m.options.Commit,
		Seed:     m.options.Seed,
		Cores:    runtime.NumCPU(),
		Mode:     m.options.Mode.Name,
		Surges:   m.surges,
		Crashes:  m.crashes,
		Overhead: m.overhead,
	}
	for _, s := range scenario.All() {
		for _, policy := range Policies {
			entries := m.entries[entryKey{s.Name, policy}]
			if len(entries) == 0 {
				continue
			}
			summary, err := report.Summarize(entries)
			if err != nil {
				return nil, err
			}
			results.Entries = append(results.Entries, summary)
		}
	}
	results.SetTargets()
	return results, nil
}

// writeFiles writes the results to dir and prints its Markdown page.
func writeFiles(results *report.Results, dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	encoded, err := json.MarshalIndent(results, "", "  ")
	if err != nil {
		return err
	}
	page := results.Markdown()
	fmt.Print(page)
	return errors.Join(
		os.WriteFile(filepath.Join(dir, "latest.json"), append(encoded, '\n'), 0o644),
		os.WriteFile(filepath.Join(dir, "latest.md"), []byte(page), 0o644),
		results.Plot(filepath.Join(dir, "latest.svg")),
	)
}
