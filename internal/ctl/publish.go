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

// publish runs the publish command. It sends the changes that turn the set in force
// into the objects of the files.
func (c *command) publish() int {
	changes, code := c.computeChanges()
	if code != ExitOK {
		return code
	}
	request := publish.Request{
		Author: c.author, Note: c.note, DryRun: c.dryRun, Force: c.force, Changes: changes,
	}
	return c.postPublication("/publish", request)
}

// drainRequest is the body of a request to drain an upstream.
type drainRequest struct {
	Author string `json:"author"`
	Undo   bool   `json:"undo"`
	Force  bool   `json:"force"`
}

// drain runs the drain command, which also ends draining with -undo.
func (c *command) drain() int {
	if c.flags.NArg() != 1 {
		return c.failUsage("drain needs the name of one upstream")
	}
	path := "/upstreams/" + url.PathEscape(c.flags.Arg(0)) + "/drain"
	return c.postPublication(path, drainRequest{Author: c.author, Undo: c.undo, Force: c.force})
}

// postPublication posts a request that publishes changes, prints the result and
// returns the exit code for it. Without a response it returns ExitFailure if no
// connection was made, and otherwise ExitUnknown.
func (c *command) postPublication(path string, request any) int {
	var result publish.Result
	if err := c.call(http.MethodPost, path, request, &result); err != nil {
		if errors.Is(err, errNoResponse) && !isDialError(err) {
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

// isDialError reports whether no connection to the server was made, so that the
// request cannot have been sent.
func isDialError(err error) bool {
	var opError *net.OpError
	return errors.As(err, &opError) && opError.Op == "dial"
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

// computeChanges returns the changes that turn the set in force into the objects of
// the files. On failure it prints the reason and returns an exit code other than
// ExitOK.
func (c *command) computeChanges() ([]publish.Change, int) {
	documents, code := c.readDocuments()
	if code != ExitOK {
		return nil, code
	}
	inForce, err := fetch[publish.Objects](c, "/objects")
	if err != nil {
		return nil, c.fail(err)
	}
	changes, err := diffObjects(documents, inForce.Objects, c.prune)
	if err != nil {
		return nil, c.fail(err)
	}
	return changes, ExitOK
}

// diffObjects returns the changes that turn the current objects into the documents.
// Current objects that are not among the documents are deleted only if prune is true.
func diffObjects(documents []object.Document, current []publish.PublishedObject, prune bool) ([]publish.Change, error) {
	unmatched := make(map[string]publish.PublishedObject, len(current))
	for _, o := range current {
		unmatched[object.RecordKey(o.Kind, o.Name)] = o
	}
	var changes []publish.Change
	for _, document := range documents {
		spec, err := object.Canonical(document.Spec)
		if err != nil {
			return nil, err
		}
		change := publish.Change{Kind: document.Kind, Name: document.Name, Spec: spec, Base: publish.BaseAbsent}
		old, ok := unmatched[document.Key()]
		delete(unmatched, document.Key())
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
	for _, o := range current {
		if _, ok := unmatched[object.RecordKey(o.Kind, o.Name)]; ok {
			changes = append(changes, publish.Change{Kind: o.Kind, Name: o.Name, Base: o.Digest})
		}
	}
	return changes, nil
}

// diff runs the diff command. It prints what publish would change.
func (c *command) diff() int {
	changes, code := c.computeChanges()
	if code != ExitOK {
		return code
	}
	if !c.printJSON(changes) {
		for _, change := range changes {
			fmt.Fprintln(c.stdout, formatChange(change))
		}
	}
	if len(changes) > 0 {
		return ExitDiffers
	}
	return ExitOK
}

// formatChange returns one line for a change, marked "+" if it creates an object,
// "-" if it deletes one and "~" if it replaces one.
func formatChange(change publish.Change) string {
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

// knownKinds holds the kinds that the get command accepts.
var knownKinds = []object.Kind{
	object.KindCustomer, object.KindKey, object.KindRoute,
	object.KindUpstream, object.KindModelVersion, object.KindFleet,
}

func isKnownKind(kind object.Kind) bool { return slices.Contains(knownKinds, kind) }
