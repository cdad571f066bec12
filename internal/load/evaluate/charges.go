package evaluate

import (
	"slices"
	"sort"
	"time"

	"github.com/greengagegate/greengagegate/internal/load/client"
	"github.com/greengagegate/greengagegate/internal/standin/plainsvc"
)

// Charges compares what callers were told about charges with the services' ledgers.
type Charges struct {
	Sent     int `json:"charges"`
	Attempts int `json:"charge_attempts"`
	// Settled charges were told to have run.
	Settled int `json:"charges_settled"`
	// Unknown charges have no attempt that was told to have run, and one of unknown outcome.
	Unknown int `json:"charges_unknown"`
	// Doubled charges were executed more than once.
	Doubled int `json:"doubled"`
	// FalseNotRun counts executions of attempts that were told not to have run.
	FalseNotRun int `json:"false_not_run"`
	// FalseRan counts charges that were told to have run and were not executed.
	FalseRan int `json:"false_ran"`
	// Credentials counts calls that reached a service with a caller's credentials.
	Credentials int       `json:"credentials_leaked"`
	Latency     Quantiles `json:"charge_latency"`
}

func judgeCharges(results []client.ChargeResult, ledgers []plainsvc.Ledger) Charges {
	entries := make(map[string]*plainsvc.Entry)
	var c Charges
	for _, ledger := range ledgers {
		c.Credentials += ledger.Credentials
		for _, entry := range ledger.Entries {
			merge(entries, entry)
		}
	}
	var latencies []time.Duration
	for _, r := range results {
		c.add(r, entries[r.Charge.ID])
		for _, attempt := range r.Attempts {
			if attempt.ReportedRun == client.ReportedRan {
				latencies = append(latencies, attempt.Took)
			}
		}
	}
	c.Latency = QuantilesOf(latencies)
	return c
}

// merge adds an entry of one service's ledger to those of the others.
func merge(entries map[string]*plainsvc.Entry, entry plainsvc.Entry) {
	known := entries[entry.ID]
	if known == nil {
		entries[entry.ID] = &entry
		return
	}
	known.Executions += entry.Executions
	known.RequestIDs = append(known.RequestIDs, entry.RequestIDs...)
}

func (c *Charges) add(r client.ChargeResult, entry *plainsvc.Entry) {
	if entry == nil {
		entry = &plainsvc.Entry{}
	}
	c.Sent++
	c.Attempts += len(r.Attempts)
	reported := reportedOf(r.Attempts)
	switch {
	case slices.Contains(reported, client.ReportedRan):
		c.Settled++
		if entry.Executions == 0 {
			c.FalseRan++
		}
	case slices.Contains(reported, client.ReportedUnknown):
		c.Unknown++
	case entry.Executions > 0:
		c.FalseNotRun++
		return
	}
	if entry.Executions > 1 {
		c.Doubled++
	}
	for _, attempt := range r.Attempts {
		if attempt.ReportedRun == client.ReportedNotRun && slices.Contains(entry.RequestIDs, attempt.RequestID) {
			c.FalseNotRun++
		}
	}
}

func reportedOf(attempts []client.Attempt) []client.ReportedRun {
	var reported []client.ReportedRun
	for _, attempt := range attempts {
		reported = append(reported, attempt.ReportedRun)
	}
	sort.Slice(reported, func(i, j int) bool { return reported[i] < reported[j] })
	return reported
}
