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

// get prints objects in the form of files.
func (c *command) get() int {
	if c.flags.NArg() > 1 {
		return c.usage("get takes one KIND or KIND/NAME")
	}
	query := url.Values{}
	if c.flags.NArg() == 1 {
		kind, name := object.SplitKey(c.flags.Arg(0))
		if !isKind(kind) {
			return c.usage(fmt.Sprintf("unknown kind %q", kind))
		}
		query.Set("kind", string(kind))
		query.Set("name", name)
	}
	answer, err := get[publish.Objects](c, "/objects?"+query.Encode())
	if err != nil {
		return c.fail(err)
	}
	if c.printJSON(answer) {
		return ExitOK
	}
	for i, o := range answer.Objects {
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

func (c *command) history() int {
	answer, err := get[publish.History](c, "/history")
	if err != nil {
		return c.fail(err)
	}
	if c.printJSON(answer) {
		return ExitOK
	}
	table := tabwriter.NewWriter(c.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "REVISION\tAT\tAUTHOR\tCHANGED\tNOTE")
	for _, p := range answer.Publications {
		changed := strings.Join(p.Changed, " ")
		if p.ChangedCount > len(p.Changed) {
			changed += fmt.Sprintf(" and %d more", p.ChangedCount-len(p.Changed))
		}
		fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%s\n", p.Revision, p.At.Format(time.RFC3339), p.Author, changed, p.Note)
	}
	_ = table.Flush()
	return ExitOK
}

func (c *command) status() int {
	answer, err := get[publish.Status](c, "/status")
	if err != nil {
		return c.fail(err)
	}
	if c.printJSON(answer) {
		return ExitOK
	}
	fmt.Fprintf(c.stdout, "%s: revision %d, fresh %t, evidence %d ms old\n",
		answer.Process, answer.Revision, answer.Fresh, answer.EvidenceAgeMs)
	table := tabwriter.NewWriter(c.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "PROCESS\tROLE\tZONE\tADDRESS\tSTATE\tREVISION\tDRAINING\tANSWERED")
	for _, p := range answer.Processes {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%d\t%t\t%t\n",
			p.Process, p.Role, p.Zone, p.Address, p.State, p.Revision, p.Draining, p.Answered)
	}
	_ = table.Flush()
	return ExitOK
}
