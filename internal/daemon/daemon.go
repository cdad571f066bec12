// Package daemon holds what the long-running programs have in common: command
// line flags, validation of the settings file, logging, and an fx application
// that stops on SIGTERM or SIGINT.
package daemon

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/greengagegate/greengagegate/internal/settings"
	"github.com/rs/zerolog"
	"go.uber.org/fx"
)

// Version is the version of the program. It is set by the linker.
var Version = "dev"

// Exit codes of the daemons.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = 2
)

// startTimeout bounds the start of a program. It also bounds the graceful stop of
// a program without a StopTimeout.
const startTimeout = 30 * time.Second

// Values of Log.Output.
const (
	outputStderr = "stderr"
	outputStdout = "stdout"
)

// Log holds the settings of a daemon's log.
type Log struct {
	// Level is the lowest severity that is logged: debug, info, warn or error.
	Level string `ini:"level"`
	// Output is stderr or stdout. Empty means stderr.
	Output string `ini:"output"`
}

// Validate implements settings.Validator.
func (l *Log) Validate() (string, error) {
	if l.Output == "" {
		l.Output = outputStderr
	}
	if l.Output != outputStderr && l.Output != outputStdout {
		return "output", fmt.Errorf("%q is neither %s nor %s", l.Output, outputStderr, outputStdout)
	}
	_, err := zerolog.ParseLevel(l.Level)
	return "level", err
}

// Program describes a daemon.
type Program struct {
	// Name is the name of the program, also in log lines and in the path of the
	// default settings file.
	Name string
	// Summary describes the program in its usage message, after its name.
	Summary string
	// Sections are the sections of the settings file, without [log].
	Sections []settings.Section
	// SettingsEnv is the name of an environment variable that holds the path of
	// the settings file, for platforms that pass the path this way. It may be
	// empty.
	SettingsEnv string
	// StopTimeout returns the time limit of a graceful stop. It is called after
	// the settings are loaded. If it is nil, the limit is 30 seconds.
	StopTimeout func() time.Duration
	// Options returns the parts of the fx application. It is called after the
	// settings are loaded.
	Options func(log zerolog.Logger) fx.Option
}

// Main parses the command line, loads the settings and runs the program until it
// is stopped. It returns the exit code.
func Main(p Program) int {
	flags := flag.NewFlagSet(p.Name, flag.ContinueOnError)
	config := flags.String("config", defaultSettingsFile(p), "settings file")
	checkOnly := flags.Bool("check-config", false, "check the settings file and exit")
	version := flags.Bool("version", false, "print the version and exit")
	flags.Usage = func() { printUsage(flags.Output(), p, flags) }
	if err := flags.Parse(os.Args[1:]); err != nil {
		if err == flag.ErrHelp {
			return ExitOK
		}
		return ExitUsage
	}
	if *version {
		fmt.Println(p.Name, Version)
		return ExitOK
	}
	logSettings := Log{Level: "info", Output: outputStderr}
	sections := append([]settings.Section{{Name: "log", Target: &logSettings}}, p.Sections...)
	if err := settings.Load(*config, sections...); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", p.Name, err)
		return ExitUsage
	}
	if *checkOnly {
		fmt.Println(*config, "is valid")
		return ExitOK
	}
	output := newLogOutput(logSettings)
	defer output.Close()
	return run(p, newLogger(output, logSettings, p.Name))
}

// defaultSettingsFile returns the path of the settings file that is read if
// -config is not given.
func defaultSettingsFile(p Program) string {
	if p.SettingsEnv != "" {
		if file := os.Getenv(p.SettingsEnv); file != "" {
			return file
		}
	}
	return "/etc/greengage/" + p.Name + ".ini"
}

// printUsage writes the usage message of the program to w.
func printUsage(w io.Writer, p Program, flags *flag.FlagSet) {
	fmt.Fprintf(w, "%s %s\n\nUsage: %s -config FILE\n\n", p.Name, p.Summary, p.Name)
	flags.PrintDefaults()
}

// logTimeFormat has millisecond precision, so that the log lines of several
// processes can be put in order.
const logTimeFormat = "2006-01-02T15:04:05.000Z07:00"

// newLogger returns a logger that writes lines with a timestamp and the program's
// name to w. An invalid level counts as info; Log.Validate rejects such levels earlier.
func newLogger(w io.Writer, logSettings Log, program string) zerolog.Logger {
	zerolog.TimeFieldFormat = logTimeFormat
	level, err := zerolog.ParseLevel(logSettings.Level)
	if err != nil {
		level = zerolog.InfoLevel
	}
	return zerolog.New(w).Level(level).With().Timestamp().Str("program", program).Logger()
}

// run starts the application, waits until a signal or the application itself
// stops it, and returns the exit code.
func run(p Program, log zerolog.Logger) int {
	stopTimeout := startTimeout
	if p.StopTimeout != nil {
		stopTimeout = p.StopTimeout()
	}
	app := fx.New(
		fx.NopLogger,
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(stopTimeout),
		fx.Supply(log),
		p.Options(log),
	)
	if err := app.Err(); err != nil {
		log.Error().Err(err).Msg("daemon: the application could not be assembled; exiting")
		return ExitFailure
	}
	// The platform sends SIGHUP when the settings have changed. Settings are read
	// only when the process starts, so SIGHUP is ignored: by default it would end
	// the process.
	signal.Ignore(syscall.SIGHUP)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	startCtx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if err := app.Start(startCtx); err != nil {
		log.Error().Err(err).Msg("daemon: the application did not start; exiting")
		return ExitFailure
	}
	log.Info().Str("version", Version).Msg("daemon: started")
	select {
	case <-signals:
	case <-app.Done():
	}
	log.Info().Msg("daemon: stopping")
	stopCtx, cancelStop := context.WithTimeout(context.Background(), stopTimeout)
	defer cancelStop()
	if err := app.Stop(stopCtx); err != nil {
		log.Error().Err(err).Msg("daemon: the graceful stop failed; exiting")
		return ExitFailure
	}
	log.Info().Msg("daemon: stopped")
	return ExitOK
}
