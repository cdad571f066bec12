// Package suite runs all scenarios with all policies and writes the outcome.
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

// Product is the policy that the surge and crash runs measure.
const Product = "prefix"

// Policies are measured, each against the same arrivals.
var Policies = []string{"random", "least-loaded", "hash", "probe-all", Product}

// Imports reports whether a policy copies blocks from the KV store by itself.
func Imports(policy string) bool { return policy == "probe-all" || policy == Product }

// Mode says how long the suite takes.
type Mode struct {
	Name     string
	Repeats  int
	Warmup   time.Duration
	Measured time.Duration
	// Extras adds the surge, crash and overhead runs.
	Extras bool
}

// Extras need a fixed time: the surge lasts until second 40 and then drains.
const (
	extraMeasured    = 60 * time.Second
	overheadMeasured = 10 * time.Second
)

// Modes returns the mode with a name: quick, normal or full.
func Modes(name string) (Mode, error) {
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

// Options describes a suite.
type Options struct {
	Mode   Mode
	Seed   uint64
	BinDir string
	// OutDir receives latest.json, latest.md and latest.svg.
	OutDir string
	Commit string
	Net    int
	Log    zerolog.Logger
}

// Run measures everything and writes the files. What was measured before an
// error is still written.
func Run(ctx context.Context, o Options) error {
	s := &state{options: o, entries: make(map[cell][]run.Entry)}
	measureErr := s.measure(ctx)
	file, err := s.file()
	if err != nil {
		return errors.Join(measureErr, err)
	}
	return errors.Join(measureErr, write(file, o.OutDir))
}

type cell struct {
	scenario, policy string
}

type state struct {
	options  Options
	entries  map[cell][]run.Entry
	surges   []run.Entry
	crashes  []run.Entry
	overhead *overhead.Figures
}

func (s *state) measure(ctx context.Context) error {
	for repeat := range s.options.Mode.Repeats {
		for _, sc := range scenario.All() {
			if err := s.measurePolicies(ctx, sc, repeat); err != nil {
				return err
			}
		}
	}
	if !s.options.Mode.Extras {
		return nil
	}
	return s.measureExtras(ctx)
}

// measurePolicies runs the policies in an order that is rotated between repeats.
func (s *state) measurePolicies(ctx context.Context, sc scenario.Scenario, repeat int) error {
	for i := range Policies {
		policy := Policies[(i+repeat)%len(Policies)]
		o := s.runOptions(sc, policy)
		o.Seed += uint64(repeat)
		entry, err := s.one(ctx, o)
		if err != nil {
			return err
		}
		key := cell{sc.Name, policy}
		s.entries[key] = append(s.entries[key], entry)
	}
	return nil
}

func (s *state) measureExtras(ctx context.Context) error {
	for _, sc := range scenario.All() {
		o := s.runOptions(sc, Product)
		o.Measured, o.Surge = extraMeasured, true
		entry, err := s.one(ctx, o)
		if err != nil {
			return err
		}
		s.surges = append(s.surges, entry)
	}
	for _, sc := range scenario.All() {
		o := s.runOptions(sc, Product)
		o.Measured, o.Faults = extraMeasured, []faultinject.Kind{faultinject.Quarter}
		entry, err := s.one(ctx, o)
		if err != nil {
			return err
		}
		s.crashes = append(s.crashes, entry)
	}
	figures, err := overhead.Measure(ctx, overhead.Options{
		Seed: s.options.Seed, Measured: overheadMeasured, BinDir: s.options.BinDir,
		Net: s.options.Net, Log: s.options.Log,
	})
	if err != nil {
		return err
	}
	s.overhead = &figures
	return nil
}

func (s *state) runOptions(sc scenario.Scenario, policy string) run.Options {
	return run.Options{
		Scenario: sc,
		Policy:   policy,
		Import:   Imports(policy),
		Seed:     s.options.Seed,
		Warmup:   s.options.Mode.Warmup,
		Measured: s.options.Mode.Measured,
		BinDir:   s.options.BinDir,
		Net:      s.options.Net,
		Log:      s.options.Log,
	}
}

func (s *state) one(ctx context.Context, o run.Options) (run.Entry, error) {
	entry, err := run.Run(ctx, o)
	if err != nil {
		return run.Entry{}, err
	}
	s.options.Log.Info().
		Str("scenario", entry.Scenario).
		Str("policy", entry.Policy).
		Float64("hit_rate", entry.PrefixHitRate).
		Float64("ttft_p95_ms", entry.TTFT95).
		Int("wrongful", entry.Wrongful).
		Msg("load: measured")
	return entry, nil
}

func (s *state) file() (*report.File, error) {
	file := &report.File{
		Commit:   s.options.Commit,
		Seed:     s.options.Seed,
		Cores:    runtime.NumCPU(),
		Mode:     s.options.Mode.Name,
		Surges:   s.surges,
		Crashes:  s.crashes,
		Overhead: s.overhead,
	}
	for _, sc := range scenario.All() {
		for _, policy := range Policies {
			entries := s.entries[cell{sc.Name, policy}]
			if len(entries) == 0 {
				continue
			}
			summary, err := report.Summarize(entries)
			if err != nil {
				return nil, err
			}
			file.Entries = append(file.Entries, summary)
		}
	}
	file.SetTargets()
	return file, nil
}

func write(file *report.File, dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	encoded, err := json.MarshalIndent(file, "", "  ")
	if err != nil {
		return err
	}
	page := file.Markdown()
	fmt.Print(page)
	return errors.Join(
		os.WriteFile(filepath.Join(dir, "latest.json"), append(encoded, '\n'), 0o644),
		os.WriteFile(filepath.Join(dir, "latest.md"), []byte(page), 0o644),
		file.Plot(filepath.Join(dir, "latest.svg")),
	)
}
