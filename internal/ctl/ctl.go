// Package ctl is the operators' command line.
package ctl

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/greengagegate/greengagegate/internal/daemon"
	"github.com/greengagegate/greengagegate/internal/object"
)

// Exit codes of greengagectl.
const (
	// ExitOK says that the command did what was asked.
	ExitOK = 0
	// ExitFailure says that nothing was changed: the server or the store could
	// not be reached, or refused.
	ExitFailure = 1
	// ExitUsage says that the command line is wrong.
	ExitUsage = 2
	// ExitInvalid says that the objects have mistakes. Nothing was changed.
	ExitInvalid = 3
	// ExitConflict says that another operator changed the same objects. Nothing was changed.
	ExitConflict = 4
	// ExitUnknown says that the changes may or may not have been made.
	ExitUnknown = 5
	// ExitDiffers says that diff has found differences.
	ExitDiffers = 6
)

const usageText = `greengagectl checks and publishes the configuration of a fleet.

Usage: greengagectl COMMAND [flags] [files and directories]

  check FILE...     check objects as a whole set, without a server
  diff FILE...      show what publish would change
  publish FILE...   check, merge and commit objects
  get [KIND[/NAME]] print objects in force
  history           list former publications
  status            show which revision each process runs by
  drain UPSTREAM    keep new work away from an upstream
  explain ID FILE.. tell a request's story from gateways' logs
  key               make a new key: prints a secret and its Key object
  version           print the version

Flags follow the command; 'greengagectl COMMAND -h' lists them.

Exit codes: 0 done, 1 not done, 2 wrong usage, 3 mistakes in objects,
4 conflict with another operator, 5 outcome unknown, 6 diff found differences.
`

// command is one run of the program.
type command struct {
	stdout, stderr io.Writer
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
	customer       string
	name           string
}

// Run executes the command line and returns the exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	if len(args) == 0 || args[0] == "-h" || args[0] == "-help" || args[0] == "help" {
		fmt.Fprint(stderr, usageText)
		return ExitUsage
	}
	c := &command{stdout: stdout, stderr: stderr}
	c.flags = flag.NewFlagSet("greengagectl "+args[0], flag.ContinueOnError)
	c.flags.SetOutput(stderr)
	c.flags.BoolVar(&c.json, "json", false, "print JSON")
	run := c.lookup(args[0])
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

// lookup declares the flags of a command and returns its function, or nil.
func (c *command) lookup(name string) func() int {
	switch name {
	case "check":
		return c.check
	case "diff":
		c.serverFlags()
		c.flags.BoolVar(&c.prune, "prune", false, "also delete the objects that the files lack")
		return c.diff
	case "publish":
		c.serverFlags()
		c.publishFlags()
		c.flags.BoolVar(&c.prune, "prune", false, "delete the objects that the files lack")
		c.flags.BoolVar(&c.dryRun, "dry-run", false, "check and merge on the server, commit nothing")
		c.flags.StringVar(&c.note, "note", "", "why, for the history")
		return c.publish
	case "get":
		c.serverFlags()
		return c.get
	case "history":
		c.serverFlags()
		return c.history
	case "status":
		c.serverFlags()
		return c.status
	case "drain":
		c.serverFlags()
		c.publishFlags()
		c.flags.BoolVar(&c.undo, "undo", false, "let new work in again")
		return c.drain
	case "explain":
		return c.explain
	case "key":
		c.flags.StringVar(&c.customer, "customer", "", "customer of the key (required)")
		c.flags.StringVar(&c.name, "name", "", "name of the Key object (required)")
		return c.newKey
	case "version":
		return func() int {
			fmt.Fprintln(c.stdout, "greengagectl", daemon.Version)
			return ExitOK
		}
	default:
		return nil
	}
}

func (c *command) serverFlags() {
	c.flags.StringVar(&c.server, "server", "http://127.0.0.1:7480", "operators' address of a router")
	c.flags.StringVar(&c.caFile, "ca", "", "file with the certificates that the server's is checked against")
	c.flags.StringVar(&c.certFile, "cert", "", "file with the operator's certificate")
	c.flags.StringVar(&c.keyFile, "key", "", "file with the operator's private key")
}

func (c *command) publishFlags() {
	c.flags.StringVar(&c.author, "author", os.Getenv("USER"), "who publishes, for the history")
	c.flags.BoolVar(&c.force, "force", false, "publish although fewer than half of the witnesses confirm")
}

// printJSON writes v when -json is set and reports whether it was.
func (c *command) printJSON(v any) bool {
	if !c.json {
		return false
	}
	encoder := json.NewEncoder(c.stdout)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(v)
	return true
}

func (c *command) fail(err error) int {
	fmt.Fprintf(c.stderr, "greengagectl: %v\n", err)
	return ExitFailure
}

func (c *command) usage(message string) int {
	fmt.Fprintf(c.stderr, "greengagectl: %s\n", message)
	return ExitUsage
}

// read returns the objects of the files on the command line, or prints every
// mistake of their form.
func (c *command) read() ([]object.Document, int) {
	if c.flags.NArg() == 0 {
		return nil, c.usage("name the files or directories with the objects")
	}
	documents, mistakes := object.ReadFiles(c.flags.Args()...)
	if len(mistakes) > 0 {
		return documents, c.printMistakes(mistakes)
	}
	return documents, ExitOK
}

func (c *command) printMistakes(mistakes object.Mistakes) int {
	if !c.printJSON(mistakes) {
		for _, mistake := range mistakes {
			fmt.Fprintln(c.stdout, mistake)
		}
		fmt.Fprintf(c.stderr, "greengagectl: %d mistakes\n", len(mistakes))
	}
	return ExitInvalid
}
