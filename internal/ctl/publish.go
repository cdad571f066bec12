package ctl

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"slices"

	"github.com/greengagegate/greengagegate/internal/object"
	"github.com/greengagegate/greengagegate/internal/publish"
)

// publish sends the difference between the files and the set in force.
func (c *command) publish() int {
	changes, code := c.difference()
	if code != ExitOK {
		return code
	}
	request := publish.Request{
		Author: c.author, Note: c.note, DryRun: c.dryRun, Force: c.force, Changes: changes,
	}
	return c.send("/publish", request)
}

// drainRequest is the body of a request to drain an upstream.
type drainRequest struct {
	Author string `json:"author"`
	Undo   bool   `json:"undo"`
	Force  bool   `json:"force"`
}

func (c *command) drain() int {
	if c.flags.NArg() != 1 {
		return c.usage("drain needs the name of one upstream")
	}
	path := "/upstreams/" + url.PathEscape(c.flags.Arg(0)) + "/drain"
	return c.send(path, drainRequest{Author: c.author, Undo: c.undo, Force: c.force})
}

// send posts a request to publish, prints the result and returns its exit code.
func (c *command) send(path string, request any) int {
	var result publish.Result
	if err := c.call(http.MethodPost, path, request, &result); err != nil {
		if errors.Is(err, errNoAnswer) && !notSent(err) {
			fmt.Fprintf(c.stderr, "greengagectl: outcome unknown, see history: %v\n", err)
			return ExitUnknown
		}
		return c.fail(err)
	}
	if !c.printJSON(result) {
		c.printResult(result)
	}
	return exitCode(result.Outcome)
}

// notSent reports that the connection was never made.
func notSent(err error) bool {
	var failure *net.OpError
	return errors.As(err, &failure) && failure.Op == "dial"
}

func exitCode(outcome publish.Outcome) int {
	switch outcome {
	case publish.OutcomeAccepted, publish.OutcomeUnchanged, publish.OutcomeValid:
		return ExitOK
	case publish.OutcomeInvalid:
		return ExitInvalid
	case publish.OutcomeConflict:
		return ExitConflict
	case publish.OutcomeUnknown:
		return ExitUnknown
	default:
		return ExitFailure
	}
}

func (c *command) printResult(result publish.Result) {
	fmt.Fprintf(c.stdout, "%s, revision %d", result.Outcome, result.Revision)
	if result.Witnesses > 0 {
		fmt.Fprintf(c.stdout, ", noted by %d of %d witnesses", result.Confirmed, result.Witnesses)
	}
	fmt.Fprintln(c.stdout)
	if result.Reason != "" {
		fmt.Fprintln(c.stdout, "  reason:", result.Reason)
	}
	for _, key := range result.Changed {
		fmt.Fprintln(c.stdout, "  changed", key)
	}
	for _, conflict := range result.Conflicts {
		fmt.Fprintf(c.stdout, "  %s: changed by %q in revision %d and by %q in this request\n",
			conflict.Object, conflict.OtherAuthor, conflict.OtherRevision, conflict.Author)
	}
	for _, mistake := range result.Mistakes {
		fmt.Fprintln(c.stdout, " ", mistake)
	}
}

// difference compares the files with the set in force.
func (c *command) difference() ([]publish.Change, int) {
	documents, code := c.read()
	if code != ExitOK {
		return nil, code
	}
	present, err := get[publish.Objects](c, "/objects")
	if err != nil {
		return nil, c.fail(err)
	}
	changes, err := compare(documents, present.Objects, c.prune)
	if err != nil {
		return nil, c.fail(err)
	}
	return changes, ExitOK
}

// compare returns the changes that make the present objects like the documents.
func compare(documents []object.Document, present []publish.Published, prune bool) ([]publish.Change, error) {
	byKey := make(map[string]publish.Published, len(present))
	for _, o := range present {
		byKey[object.RecordKey(o.Kind, o.Name)] = o
	}
	var changes []publish.Change
	for _, document := range documents {
		spec, err := object.Canonical(document.Spec)
		if err != nil {
			return nil, err
		}
		change := publish.Change{Kind: document.Kind, Name: document.Name, Spec: spec, Base: publish.BaseAbsent}
		old, ok := byKey[document.Key()]
		delete(byKey, document.Key())
		if ok {
			change.Base = old.Digest
		}
		if !ok || string(old.Spec) != string(spec) {
			changes = append(changes, change)
		}
	}
	if !prune {
		return changes, nil
	}
	for _, o := range present {
		if _, left := byKey[object.RecordKey(o.Kind, o.Name)]; left {
			changes = append(changes, publish.Change{Kind: o.Kind, Name: o.Name, Base: o.Digest})
		}
	}
	return changes, nil
}

// diff prints what publish would change.
func (c *command) diff() int {
	changes, code := c.difference()
	if code != ExitOK {
		return code
	}
	if !c.printJSON(changes) {
		for _, change := range changes {
			fmt.Fprintln(c.stdout, describe(change))
		}
	}
	if len(changes) > 0 {
		return ExitDiffers
	}
	return ExitOK
}

func describe(change publish.Change) string {
	key := object.RecordKey(change.Kind, change.Name)
	switch {
	case change.Spec == nil:
		return "- " + key
	case change.Base == publish.BaseAbsent:
		return "+ " + key + " " + string(change.Spec)
	default:
		return "~ " + key + " " + string(change.Spec)
	}
}

// knownKinds are the kinds that get accepts.
var knownKinds = []object.Kind{
	object.KindCustomer, object.KindKey, object.KindRoute,
	object.KindUpstream, object.KindModelVersion, object.KindFleet,
}

func isKind(kind object.Kind) bool { return slices.Contains(knownKinds, kind) }
