package ctl

import (
	"fmt"
	"net/http"
	"strings"
	"text/tabwriter"

	"github.com/greengagegate/greengagegate/internal/fault"
	"github.com/greengagegate/greengagegate/internal/httpclient"
	"github.com/greengagegate/greengagegate/internal/rollout"
)

// showRollouts runs the rollout command. It prints the rollouts of software versions as one
// gateway knows them, with the responses that decided them.
func (c *command) showRollouts() int {
	statuses, err := c.fetchRollouts()
	if err != nil {
		return c.fail(err)
	}
	if c.printJSON(statuses) {
		return ExitOK
	}
	for _, s := range statuses {
		fmt.Fprintf(c.stdout, "%s to %s: %s, stage %s, share %.3f, canaries %d, %d of %d ms, decides here %t\n",
			s.Pool, s.Target, s.State, s.Stage, s.Share, s.Canaries, s.ElapsedMS, s.DurationMS, s.DecidesHere)
		if s.Reason != "" {
			fmt.Fprintf(c.stdout, "  rolled back: %s\n", s.Reason)
		}
		table := tabwriter.NewWriter(c.stdout, 0, 0, 2, ' ', 0)
		fmt.Fprintln(table, "  ROUTE\tVERSIONS\tSENT\tRESPONSES\tFAILED\tMEDIAN MS")
		for _, counts := range s.Counts {
			fmt.Fprintf(table, "  %s\t%s\t%d\t%d\t%d\t%d\n", counts.Route, counts.Group, counts.Sent, counts.Total, counts.Failed, counts.MedianMS)
		}
		_ = table.Flush()
	}
	return ExitOK
}

// fetchRollouts reads the rollouts from the admin listener of a gateway. It returns an error if
// the gateway cannot be reached, or does not answer with status 200 and a list of rollouts.
func (c *command) fetchRollouts() ([]rollout.Status, error) {
	client := &http.Client{Timeout: clientTimeout}
	response, err := client.Get(strings.TrimSuffix(c.server, "/") + rollout.StatusesPath)
	if err != nil {
		return nil, fault.Wrap(err, "get rollouts", c.server)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, fault.New(fmt.Sprintf("status %d", response.StatusCode), "get rollouts", c.server)
	}
	var statuses []rollout.Status
	return statuses, fault.Wrap(httpclient.DecodeJSON(response.Body, maxResponseBytes, &statuses), "read rollouts", c.server)
}
