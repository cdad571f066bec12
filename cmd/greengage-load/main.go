// Command greengage-load drives a workload through the real programs of a fleet
// and measures how it is served.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/greengagegate/greengagegate/internal/daemon"
	"github.com/greengagegate/greengagegate/internal/load/faultinject"
	"github.com/greengagegate/greengagegate/internal/load/overhead"
	"github.com/greengagegate/greengagegate/internal/load/run"
	"github.com/greengagegate/greengagegate/internal/load/scenario"
	"github.com/greengagegate/greengagegate/internal/load/suite"
	"github.com/rs/zerolog"
)

type arguments struct {
	scenario, policy, faults, importing string
	json, binDir, outDir, suite, commit string
	seed                                uint64
	duration, warmup                    time.Duration
	surge, overhead, version            bool
	net                                 int
}

func parse(args []string, stderr io.Writer) (*arguments, error) {
	a := &arguments{}
	flags := flag.NewFlagSet("greengage-load", flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.StringVar(&a.scenario, "scenario", "limon", "limon or letak")
	flags.StringVar(&a.policy, "policy", suite.Product, strings.Join(suite.Policies, ", "))
	flags.Uint64Var(&a.seed, "seed", 1, "decides all arrivals and faults")
	flags.DurationVar(&a.duration, "duration", 40*time.Second, "measured time")
	flags.DurationVar(&a.warmup, "warmup", 10*time.Second, "time before it that is not measured")
	flags.BoolVar(&a.surge, "surge", false, "first customer at a multiple of its rate from second 20 to 40")
	flags.StringVar(&a.faults, "faults", "", "comma-separated: crash, quarter, outage, restart, kill, revoke, shift, poison, late-poison, poison-burst, late-poison-burst")
	flags.StringVar(&a.importing, "import", "auto", "copy blocks from the KV store: on, off, or auto by policy")
	flags.StringVar(&a.json, "json", "", "file for the figures of the run; standard output when empty")
	flags.StringVar(&a.suite, "suite", "", "measure everything: quick, normal or full")
	flags.StringVar(&a.outDir, "out", "measure", "directory for the suite's files")
	flags.StringVar(&a.commit, "commit", "", "commit that the suite's files name")
	flags.BoolVar(&a.overhead, "overhead", false, "measure only what router and agent add to an idle engine")
	flags.StringVar(&a.binDir, "bin", "bin", "directory of the programs")
	flags.IntVar(&a.net, "net", 77, "second octet of the processes' loopback addresses")
	flags.BoolVar(&a.version, "version", false, "print the version and exit")
	if err := flags.Parse(args); err != nil {
		return nil, err
	}
	if flags.NArg() > 0 {
		return nil, fmt.Errorf("unexpected argument %q", flags.Arg(0))
	}
	return a, nil
}

func main() {
	a, err := parse(os.Args[1:], os.Stderr)
	if errors.Is(err, flag.ErrHelp) {
		os.Exit(daemon.ExitOK)
	}
	if err == nil && a.version {
		fmt.Println("greengage-load", daemon.Version)
		os.Exit(daemon.ExitOK)
	}
	var options run.Options
	if err == nil {
		options, err = a.runOptions()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "greengage-load:", err)
		os.Exit(daemon.ExitUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	err = a.measure(ctx, options)
	stop()
	if err != nil {
		options.Log.Error().Err(err).Msg("load: failed")
		os.Exit(daemon.ExitFailure)
	}
}

func (a *arguments) runOptions() (run.Options, error) {
	s, err := scenario.Named(a.scenario)
	if err != nil {
		return run.Options{}, err
	}
	var names []string
	if a.faults != "" {
		names = strings.Split(a.faults, ",")
	}
	kinds, err := faultinject.Parse(names)
	if err != nil {
		return run.Options{}, err
	}
	importing, err := a.imports()
	if err != nil {
		return run.Options{}, err
	}
	return run.Options{
		Scenario: s,
		Policy:   a.policy,
		Import:   importing,
		Seed:     a.seed,
		Warmup:   a.warmup,
		Measured: a.duration,
		Surge:    a.surge,
		Faults:   kinds,
		BinDir:   a.binDir,
		Net:      a.net,
		Log:      zerolog.New(os.Stderr).With().Timestamp().Logger(),
	}, nil
}

func (a *arguments) imports() (bool, error) {
	switch a.importing {
	case "on":
		return true, nil
	case "off":
		return false, nil
	case "auto":
		return suite.Imports(a.policy), nil
	default:
		return false, fmt.Errorf("-import must be on, off or auto, not %q", a.importing)
	}
}

func (a *arguments) measure(ctx context.Context, o run.Options) error {
	if a.suite != "" {
		return a.measureSuite(ctx, o)
	}
	if a.overhead {
		figures, err := overhead.Measure(ctx, overhead.Options{
			Seed: a.seed, Measured: a.duration, BinDir: a.binDir, Net: a.net, Log: o.Log,
		})
		return errors.Join(err, a.write(figures))
	}
	entry, err := run.Run(ctx, o)
	if entry.Requests == 0 {
		return err
	}
	if a.json != "" {
		printSummary(entry)
	}
	return errors.Join(err, a.write(entry))
}

// printSummary prints the figures that a run is most often made for.
func printSummary(e run.Entry) {
	fmt.Printf("%s %s, seed %d: %d prompts, hit rate %.3f, ttft p50 %.0f ms, p95 %.0f ms, p99 %.0f ms\n",
		e.Scenario, e.Policy, e.Seed, e.Requests, e.PrefixHitRate, e.TTFT50, e.TTFT95, e.TTFT99)
	fmt.Printf("recomputed %d of %d needed tokens, worst customer %s p95 %.0f ms\n",
		e.Recomputed, e.Needed, e.WorstCustomer, e.WorstTTFT95)
	fmt.Printf("over-admission: %.0f tokens, wrongful refusals: %d (of customers within their rate: %d), failed: %d, truncated: %d (connection broke: %d), wrong answers: %d\n",
		e.OverAdmission, e.Wrongful, e.WrongfulWithin, e.Failed, e.Truncated, e.Broken, e.WrongAnswers)
	fmt.Printf("charges: %d, doubled: %d, false not-run: %d, false ran: %d, unknown: %d\n",
		e.Charges.Sent, e.Doubled, e.FalseNotRun, e.FalseRan, e.Unknown)
	fmt.Printf("engines lost to poison: %d, innocents refused: %d\n", e.EnginesLost, e.InnocentRefused)
	if e.RevokeMs != nil {
		fmt.Printf("withdrawn key worked for %.0f ms\n", *e.RevokeMs)
	}
}

func (a *arguments) measureSuite(ctx context.Context, o run.Options) error {
	mode, err := suite.Modes(a.suite)
	if err != nil {
		return err
	}
	return suite.Run(ctx, suite.Options{
		Mode: mode, Seed: a.seed, BinDir: a.binDir, OutDir: a.outDir,
		Commit: a.commit, Net: a.net, Log: o.Log,
	})
}

// write writes figures as JSON to the file asked for, or to standard output.
func (a *arguments) write(figures any) error {
	encoded, err := json.MarshalIndent(figures, "", "  ")
	if err != nil {
		return err
	}
	encoded = append(encoded, '\n')
	if a.json == "" {
		_, err = os.Stdout.Write(encoded)
		return err
	}
	return os.WriteFile(a.json, encoded, 0o644)
}
