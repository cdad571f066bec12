package ctl

import (
	"fmt"
	"net/url"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/greengagegate/greengagegate/internal/object"
	"github.com/greengagegate/greengagegate/internal/publish"
	"sigs.k8s.io/yaml"
)

// showObjects runs the get command. It prints objects in force as YAML documents.
func (c *command) showObjects() int {
	if c.flags.NArg() > 1 {
		return c.failUsage("get takes one KIND or KIND/NAME")
	}
	query := url.Values{}
	if c.flags.NArg() == 1 {
		kind, name := object.SplitKey(c.flags.Arg(0))
		if !isKnownKind(kind) {
			return c.failUsage(fmt.Sprintf("unknown kind %q", kind))
		}
		query.Set("kind", string(kind))
		query.Set("name", name)
	}
	objects, err := fetch[publish.Objects](c, "/objects?"+query.Encode())
	if err != nil {
		return c.fail(err)
	}
	if c.printJSON(objects) {
		return ExitOK
	}
	for i, o := range objects.Objects {
		if i > 0 {
			fmt.Fprintln(c.stdout, "---")
		}
		text, err := yaml.Marshal(object.Document{Kind: o.Kind, Name: o.Name, Spec: o.Spec})
		if err != nil {
			return c.fail(err)
		}
		fmt.Fprintf(c.stdout, "%s", text)
	}
	return ExitOK
}

// showHistory runs the history command.
func (c *command) showHistory() int {
	history, err := fetch[publish.History](c, "/history")
	if err != nil {
		return c.fail(err)
	}
	if c.printJSON(history) {
		return ExitOK
	}
	table := tabwriter.NewWriter(c.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "REVISION\tAT\tAUTHOR\tCHANGED\tNOTE")
	for _, p := range history.Publications {
		changed := strings.Join(p.Changed, " ")
		if p.ChangedCount > len(p.Changed) {
			changed += fmt.Sprintf(" and %d more", p.ChangedCount-len(p.Changed))
		}
		fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%s\n", p.Revision, p.At.Format(time.RFC3339), p.Author, changed, p.Note)
	}
	_ = table.Flush()
	return ExitOK
}

// showStatus runs the status command. It prints the state of the process that
// responds, then a table of all processes of the fleet.
func (c *command) showStatus() int {
	status, err := fetch[publish.Status](c, "/status")
	if err != nil {
		return c.fail(err)
	}
	if c.printJSON(status) {
		return ExitOK
	}
	fmt.Fprintf(c.stdout, "%s: revision %d, fresh %t, evidence %d ms old\n",
		status.Process, status.Revision, status.Fresh, status.EvidenceAgeMs)
	table := tabwriter.NewWriter(c.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "PROCESS\tROLE\tZONE\tADDRESS\tSTATE\tREVISION\tDRAINING\tANSWERED")
	for _, p := range status.Processes {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%d\t%t\t%t\n",
			p.Process, p.Role, p.Zone, p.Address, p.State, p.Revision, p.Draining, p.Answered)
	}
	_ = table.Flush()
	return ExitOK
}
