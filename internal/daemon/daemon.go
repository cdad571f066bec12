// Package daemon is what the long-running programs share: flags, settings
// check, logging, and an fx application that stops on SIGTERM or SIGINT.
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

// Version is the release, set when the program is linked.
var Version = "dev"

// Exit codes of the daemons.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = 2
)

const startTimeout = 30 * time.Second

// Where a daemon may write its log.
const (
	outputStderr = "stderr"
	outputStdout = "stdout"
)

// Log holds the settings of a daemon's log.
type Log struct {
	// Level is the least severity that is logged: debug, info, warn or error.
	Level string `ini:"level"`
	// Output is stderr or stdout; stderr when empty.
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
	Name    string
	Summary string
	// Sections are the settings beside [log].
	Sections []settings.Section
	// SettingsEnv names an environment variable with the path of the settings file,
	// for platforms that tell it so. May be empty.
	SettingsEnv string
	// StopTimeout bounds a graceful stop. It is read after the settings are loaded.
	StopTimeout func() time.Duration
	// Options builds the application from the loaded settings.
	Options func(log zerolog.Logger) fx.Option
}

// Main runs the program and returns its exit code.
func Main(p Program) int {
	flags := flag.NewFlagSet(p.Name, flag.ContinueOnError)
	config := flags.String("config", defaultSettings(p), "settings file")
	checkOnly := flags.Bool("check-config", false, "check the settings file and exit")
	version := flags.Bool("version", false, "print the version and exit")
	flags.Usage = func() { usage(flags.Output(), p, flags) }
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

// defaultSettings returns the settings file that is read without -config.
func defaultSettings(p Program) string {
	if p.SettingsEnv != "" {
		if file := os.Getenv(p.SettingsEnv); file != "" {
			return file
		}
	}
	return "/etc/greengage/" + p.Name + ".ini"
}

func usage(w io.Writer, p Program, flags *flag.FlagSet) {
	fmt.Fprintf(w, "%s %s\n\nUsage: %s -config FILE\n\n", p.Name, p.Summary, p.Name)
	flags.PrintDefaults()
}

// logTime tells milliseconds, so that lines of several processes can be ordered.
const logTime = "2006-01-02T15:04:05.000Z07:00"

func newLogger(w io.Writer, s Log, program string) zerolog.Logger {
	zerolog.TimeFieldFormat = logTime
	level, err := zerolog.ParseLevel(s.Level)
	if err != nil {
		level = zerolog.InfoLevel
	}
	return zerolog.New(w).Level(level).With().Timestamp().Str("program", program).Logger()
}

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
		log.Error().Err(err).Msg("daemon: set-up failed")
		return ExitFailure
	}
	// The platform sends SIGHUP when settings have changed. They are read at the
	// next start; the signal must not end the process.
	signal.Ignore(syscall.SIGHUP)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	startCtx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if err := app.Start(startCtx); err != nil {
		log.Error().Err(err).Msg("daemon: start failed")
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
		log.Error().Err(err).Msg("daemon: stop was not graceful")
		return ExitFailure
	}
	log.Info().Msg("daemon: stopped")
	return ExitOK
}
