package evaluate

import (
	"slices"
	"sort"
	"time"

	"github.com/greengagegate/greengagegate/internal/load/client"
	"github.com/greengagegate/greengagegate/internal/standin/plainsvc"
)

// Charges compares the outcomes that were reported to callers with the services'
// ledgers.
type Charges struct {
	Sent     int `json:"charges"`
	Attempts int `json:"charge_attempts"`
	// Settled counts the charges of which an attempt was reported to have run.
	Settled int `json:"charges_settled"`
	// Unknown counts the charges with an attempt of unknown outcome and none that was
	// reported to have run.
	Unknown int `json:"charges_unknown"`
	// Doubled counts the charges that were executed more than once.
	Doubled int `json:"doubled"`
	// FalseNotRun counts the attempts that were executed although they were reported
	// not to have run. If all attempts of an executed charge were reported not to have
	// run, the charge counts once instead.
	FalseNotRun int `json:"false_not_run"`
	// FalseRan counts the charges that were reported to have run but were not
	// executed.
	FalseRan int `json:"false_ran"`
	// CredentialLeaks counts the headers with a caller's credentials that reached a
	// service.
	CredentialLeaks int `json:"credentials_leaked"`
	// Latency covers the attempts that were reported to have run.
	Latency Quantiles `json:"charge_latency"`
}

// evaluateCharges compares the results with the joined ledgers of all services.
func evaluateCharges(results []client.ChargeResult, ledgers []plainsvc.Ledger) Charges {
	entries := make(map[string]*plainsvc.Entry)
	var c Charges
	for _, ledger := range ledgers {
		c.CredentialLeaks += ledger.Credentials
		for _, entry := range ledger.Entries {
			mergeEntry(entries, entry)
		}
	}
	var latencies []time.Duration
	for _, r := range results {
		c.countCharge(r, entries[r.Charge.ID])
		for _, attempt := range r.Attempts {
			if attempt.ReportedRun == client.ReportedRan {
				latencies = append(latencies, attempt.Took)
			}
		}
	}
	c.Latency = QuantilesOf(latencies)
	return c
}

// mergeEntry adds an entry of one service's ledger to the entry with the same ID
// in entries, which joins the ledgers of all services.
func mergeEntry(entries map[string]*plainsvc.Entry, entry plainsvc.Entry) {
	merged := entries[entry.ID]
	if merged == nil {
		entries[entry.ID] = &entry
		return
	}
	merged.Executions += entry.Executions
	merged.RequestIDs = append(merged.RequestIDs, entry.RequestIDs...)
}

// countCharge counts one charge. entry is nil if no service executed it.
func (c *Charges) countCharge(r client.ChargeResult, entry *plainsvc.Entry) {
	if entry == nil {
		entry = &plainsvc.Entry{}
	}
	c.Sent++
	c.Attempts += len(r.Attempts)
	reported := sortedReports(r.Attempts)
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

// sortedReports returns what was reported to the caller on each attempt, sorted.
func sortedReports(attempts []client.Attempt) []client.ReportedRun {
	var reported []client.ReportedRun
	for _, attempt := range attempts {
		reported = append(reported, attempt.ReportedRun)
	}
	sort.Slice(reported, func(i, j int) bool { return reported[i] < reported[j] })
	return reported
}
