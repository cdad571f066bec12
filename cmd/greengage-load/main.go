// Command greengage-load starts a fleet of the real programs with stand-in
// upstreams, sends a generated workload through it and measures how the fleet
// serves it.
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

// arguments holds the values of the flags.
type arguments struct {
	scenario, policy, faults, importMode    string
	jsonFile, binDir, outDir, suite, commit string
	seed                                    uint64
	duration, warmup                        time.Duration
	surge, overhead, version                bool
	addressOctet                            int
}

// parseArguments parses the command line args, which exclude the program name. The
// flag package prints help and errors about flags to stderr.
func parseArguments(args []string, stderr io.Writer) (*arguments, error) {
	a := &arguments{}
	flags := flag.NewFlagSet("greengage-load", flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.StringVar(&a.scenario, "scenario", "limon", "workload to run (limon, letak)")
	flags.StringVar(&a.policy, "policy", suite.ProjectPolicy, strings.Join(suite.Policies, ", "))
	flags.Uint64Var(&a.seed, "seed", 1, "seed that determines all arrivals and faults")
	flags.DurationVar(&a.duration, "duration", 40*time.Second, "length of the measured part of the run")
	flags.DurationVar(&a.warmup, "warmup", 10*time.Second, "length of the warm-up before the measured part")
	flags.BoolVar(&a.surge, "surge", false, "let the first customer send a multiple of its limit from second 20 to 40 of the measured part")
	flags.StringVar(&a.faults, "faults", "", "comma-separated faults to inject: crash, quarter, outage, restart, kill, revoke, shift, poison, late-poison, poison-burst, late-poison-burst")
	flags.StringVar(&a.importMode, "import", "auto", "copy blocks from the cache store: on, off, or auto (the policy decides)")
	flags.StringVar(&a.jsonFile, "json", "", "file for the figures of the run; standard output if empty")
	flags.StringVar(&a.suite, "suite", "", "run the whole suite of measurements: quick, normal or full")
	flags.StringVar(&a.outDir, "out", "measure", "directory for the result files of the suite")
	flags.StringVar(&a.commit, "commit", "", "commit that the result files of the suite name")
	flags.BoolVar(&a.overhead, "overhead", false, "measure only what router and agent add to an idle engine")
	flags.StringVar(&a.binDir, "bin", "bin", "directory that holds the programs")
	flags.IntVar(&a.addressOctet, "net", 77, "second octet of the processes' loopback addresses")
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
	a, err := parseArguments(os.Args[1:], os.Stderr)
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
		options.Log.Error().Err(err).Msg("load: measurement failed")
		os.Exit(daemon.ExitFailure)
	}
}

// runOptions returns the options of a run, or an error for an invalid flag value.
func (a *arguments) runOptions() (run.Options, error) {
	s, err := scenario.ByName(a.scenario)
	if err != nil {
		return run.Options{}, err
	}
	var names []string
	if a.faults != "" {
		names = strings.Split(a.faults, ",")
	}
	faults, err := faultinject.Parse(names)
	if err != nil {
		return run.Options{}, err
	}
	importEnabled, err := a.isImportEnabled()
	if err != nil {
		return run.Options{}, err
	}
	return run.Options{
		Scenario: s,
		Policy:   a.policy,
		Import:   importEnabled,
		Seed:     a.seed,
		Warmup:   a.warmup,
		Measured: a.duration,
		Surge:    a.surge,
		Faults:   faults,
		BinDir:   a.binDir,
		Net:      a.addressOctet,
		Log:      zerolog.New(os.Stderr).With().Timestamp().Logger(),
	}, nil
}

// isImportEnabled reports whether blocks are copied from the cache store. It returns
// an error for an invalid value of -import.
func (a *arguments) isImportEnabled() (bool, error) {
	switch a.importMode {
	case "on":
		return true, nil
	case "off":
		return false, nil
	case "auto":
		return suite.ImportsByDefault(a.policy), nil
	default:
		return false, fmt.Errorf("-import must be on, off or auto, not %q", a.importMode)
	}
}

// measure runs the suite, the overhead measurement or a single run, as the flags
// request, and writes the figures. A failed run that measured requests still has
// its figures written. A single run also prints a summary to standard output if -json
// names a file for the figures.
func (a *arguments) measure(ctx context.Context, o run.Options) error {
	if a.suite != "" {
		return a.measureSuite(ctx, o)
	}
	if a.overhead {
		figures, err := overhead.Measure(ctx, overhead.Options{
			Seed: a.seed, Measured: a.duration, BinDir: a.binDir, Net: a.addressOctet, Log: o.Log,
		})
		return errors.Join(err, a.writeFigures(figures))
	}
	entry, err := run.Run(ctx, o)
	if entry.Requests == 0 {
		return err
	}
	if a.jsonFile != "" {
		printSummary(entry)
	}
	return errors.Join(err, a.writeFigures(entry))
}

// printSummary prints the main figures of a run.
func printSummary(e run.Entry) {
	fmt.Printf("%s %s, seed %d: %d prompts, hit rate %.3f, ttft p50 %.0f ms, p95 %.0f ms, p99 %.0f ms\n",
		e.Scenario, e.Policy, e.Seed, e.Requests, e.PrefixHitRate, e.TTFT50, e.TTFT95, e.TTFT99)
	fmt.Printf("recomputed %d of %d needed tokens, worst customer %s p95 %.0f ms\n",
		e.Recomputed, e.Needed, e.WorstCustomer, e.WorstTTFT95)
	fmt.Printf("over-admission: %.0f tokens, wrongful refusals: %d (of customers within their rate: %d), failed: %d, truncated: %d (connection broke: %d), wrong answers: %d\n",
		e.OverAdmission, e.WrongfulRefusals, e.WrongfulRefusalsWithinRate, e.Failed, e.Truncated, e.Broken, e.WrongAnswers)
	fmt.Printf("charges: %d, doubled: %d, false not-run: %d, false ran: %d, unknown: %d\n",
		e.Charges.Sent, e.Doubled, e.FalseNotRun, e.FalseRan, e.Unknown)
	fmt.Printf("engines lost to poison: %d, innocents refused: %d\n", e.EnginesPoisoned, e.InnocentRefused)
	if e.RevokeMs != nil {
		fmt.Printf("withdrawn key worked for %.0f ms\n", *e.RevokeMs)
	}
}

func (a *arguments) measureSuite(ctx context.Context, o run.Options) error {
	mode, err := suite.ModeNamed(a.suite)
	if err != nil {
		return err
	}
	return suite.Run(ctx, suite.Options{
		Mode: mode, Seed: a.seed, BinDir: a.binDir, OutDir: a.outDir,
		Commit: a.commit, Net: a.addressOctet, Log: o.Log,
	})
}

// writeFigures writes figures as JSON to the file given by -json, or to standard
// output if the flag is empty.
func (a *arguments) writeFigures(figures any) error {
	encoded, err := json.MarshalIndent(figures, "", "  ")
	if err != nil {
		return err
	}
	encoded = append(encoded, '\n')
	if a.jsonFile == "" {
		_, err = os.Stdout.Write(encoded)
		return err
	}
	return os.WriteFile(a.jsonFile, encoded, 0o644)
}
