// Package ctl implements greengagectl, the command line with which operators check
// and publish the configuration of a fleet.
//
// One process runs one command and exits. The exit code tells scripts whether
// something was changed.
package ctl

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/greengagegate/greengagegate/internal/configcheck"
	"github.com/greengagegate/greengagegate/internal/daemon"
	"github.com/greengagegate/greengagegate/internal/object"
)

// Exit codes of greengagectl.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailure means that the command failed and changed nothing, for example
	// because the server or the store was unreachable or refused the request.
	ExitFailure = 1
	// ExitUsage means that the command line is invalid.
	ExitUsage = 2
	// ExitInvalid means that the objects have mistakes. Nothing was changed.
	ExitInvalid = 3
	// ExitConflict means that another operator changed the same objects. Nothing was changed.
	ExitConflict = 4
	// ExitUnknown means that the changes may or may not have been made.
	ExitUnknown = 5
	// ExitDiffers means that diff or check-platform found differences.
	ExitDiffers = 6
)

const usageText = `greengagectl checks and publishes the configuration of a fleet.

Usage: greengagectl COMMAND [flags] [files and directories]

  check FILE...     check objects as one complete set, without a server
  check-platform FILE
                    check a configuration of the platform's store, and with
                    -in-force FILE show how it differs from that one
  diff FILE...      show what publish would change
  publish FILE...   check, merge and commit objects
  get [KIND[/NAME]] print objects in force
  history           list past publications
  status            show the revision in force at each process
  drain UPSTREAM    stop sending new work to an upstream
  explain ID FILE.. explain a request's outcome from gateways' logs
  rollout           show the rollouts of software versions at a gateway
  key               create a key: print a secret and its Key object
  version           print the version

Flags follow the command; 'greengagectl COMMAND -h' lists them.

Exit codes: 0 done, 1 not done, 2 wrong usage, 3 mistakes in objects,
4 conflict with another operator, 5 outcome unknown, 6 diff or check-platform
found differences. Warnings of the checks count as mistakes only with -strict.
`

// command holds the flags and the output streams of one command line.
type command struct {
	stdout, stderr io.Writer
	decode         ConfigDecoder
	flags          *flag.FlagSet
	server         string
	caFile         string
	certFile       string
	keyFile        string
	json           bool
	author         string
	note           string
	force          bool
	dryRun         bool
	prune          bool
	undo           bool
	strict         bool
	inForce        string
	customer       string
	name           string
}

// ConfigDecoder decodes the content of a configuration of the platform's store. It returns
// an error if the content has not the form of a configuration.
type ConfigDecoder func(content []byte) (*configcheck.Config, error)

// Run executes the command line args, which exclude the program name, and returns
// the exit code. Only check-platform uses decode.
func Run(args []string, decode ConfigDecoder, stdout, stderr io.Writer) int {
	if len(args) == 0 || args[0] == "-h" || args[0] == "-help" || args[0] == "help" {
		fmt.Fprint(stderr, usageText)
		return ExitUsage
	}
	c := &command{stdout: stdout, stderr: stderr, decode: decode}
	c.flags = flag.NewFlagSet("greengagectl "+args[0], flag.ContinueOnError)
	c.flags.SetOutput(stderr)
	c.flags.BoolVar(&c.json, "json", false, "print JSON")
	run := c.prepare(args[0])
	if run == nil {
		fmt.Fprintf(stderr, "greengagectl: unknown command %q\n\n%s", args[0], usageText)
		return ExitUsage
	}
	if err := c.flags.Parse(args[1:]); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return ExitOK
		}
		return ExitUsage
	}
	return run()
}

// prepare declares the flags of the named command and returns the function that
// runs it, or nil if there is no such command.
func (c *command) prepare(name string) func() int {
	switch name {
	case "check":
		c.addStrictFlag()
		return c.check
	case "check-platform":
		c.addStrictFlag()
		c.flags.StringVar(&c.inForce, "in-force", "", "file with the configuration in force, to show the differences")
		return c.checkPlatform
	case "diff":
		c.addServerFlags()
		c.flags.BoolVar(&c.prune, "prune", false, "also show the objects that are not in the files as deleted")
		return c.diff
	case "publish":
		c.addServerFlags()
		c.addPublishFlags()
		c.flags.BoolVar(&c.prune, "prune", false, "delete the objects that are not in the files")
		c.flags.BoolVar(&c.dryRun, "dry-run", false, "check and merge on the server without committing")
		c.flags.StringVar(&c.note, "note", "", "reason for the publication, recorded in the history")
		return c.publish
	case "get":
		c.addServerFlags()
		return c.showObjects
	case "history":
		c.addServerFlags()
		return c.showHistory
	case "status":
		c.addServerFlags()
		return c.showStatus
	case "drain":
		c.addServerFlags()
		c.addPublishFlags()
		c.flags.BoolVar(&c.undo, "undo", false, "end draining: send new work to the upstream again")
		return c.drain
	case "explain":
		return c.explain
	case "rollout":
		c.flags.StringVar(&c.server, "server", "http://127.0.0.1:7601", "URL of the admin listener of a gateway")
		return c.showRollouts
	case "key":
		c.flags.StringVar(&c.customer, "customer", "", "customer of the key (required)")
		c.flags.StringVar(&c.name, "name", "", "name of the Key object (required)")
		return c.createKey
	case "version":
		return func() int {
			fmt.Fprintln(c.stdout, "greengagectl", daemon.Version)
			return ExitOK
		}
	default:
		return nil
	}
}

func (c *command) addServerFlags() {
	c.flags.StringVar(&c.server, "server", "http://127.0.0.1:7480", "URL of the operators' API of a router")
	c.flags.StringVar(&c.caFile, "ca", "", "file with the CA certificates that verify the server's certificate")
	c.flags.StringVar(&c.certFile, "cert", "", "file with the operator's certificate")
	c.flags.StringVar(&c.keyFile, "key", "", "file with the operator's private key")
}

func (c *command) addStrictFlag() {
	c.flags.BoolVar(&c.strict, "strict", false, "let warnings count as mistakes in the exit code")
}

func (c *command) addPublishFlags() {
	c.flags.StringVar(&c.author, "author", os.Getenv("USER"), "author of the publication, recorded in the history")
	c.flags.BoolVar(&c.force, "force", false, "publish even if fewer than half of the witnesses confirm")
}

// printJSON writes v as JSON if -json is set, and reports whether it is.
func (c *command) printJSON(v any) bool {
	if !c.json {
		return false
	}
	encoder := json.NewEncoder(c.stdout)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(v)
	return true
}

// fail prints the error and returns ExitFailure.
func (c *command) fail(err error) int {
	fmt.Fprintf(c.stderr, "greengagectl: %v\n", err)
	return ExitFailure
}

// failUsage prints a message about the command line and returns ExitUsage.
func (c *command) failUsage(message string) int {
	fmt.Fprintf(c.stderr, "greengagectl: %s\n", message)
	return ExitUsage
}

// readDocuments parses the files on the command line. If they cannot be read or
// parsed, it prints every mistake and returns an exit code other than ExitOK.
func (c *command) readDocuments() ([]object.Document, int) {
	if c.flags.NArg() == 0 {
		return nil, c.failUsage("name the files or directories with the objects")
	}
	documents, mistakes := object.ReadFiles(c.flags.Args()...)
	if len(mistakes) > 0 {
		return documents, c.printMistakes(mistakes)
	}
	return documents, ExitOK
}

// printMistakes prints the mistakes and returns ExitInvalid.
func (c *command) printMistakes(mistakes object.Mistakes) int {
	if !c.printJSON(mistakes) {
		for _, mistake := range mistakes {
			fmt.Fprintln(c.stdout, mistake)
		}
		fmt.Fprintf(c.stderr, "greengagectl: %d mistakes\n", len(mistakes))
	}
	return ExitInvalid
}
