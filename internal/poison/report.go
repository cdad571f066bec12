package poison

import (
	"slices"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
)

const (
	// reportRetention is how long own observations are reported to the peers, and how
	// long clearances apply to crashes that are reported later.
	reportRetention = 10 * time.Second
	// minAdoptedRemaining is the time that must be left of a peer's conviction. Without
	// it, two gateways could extend a conviction for ever.
	minAdoptedRemaining = time.Second
)

// Report is what a gateway tells its peers. It is complete, so any report may be lost,
// repeated or overtaken by a later one. Its slices must not be changed.
type Report struct {
	// Crashes are the crashes that the gateway itself observed lately.
	Crashes []CrashReport
	// Clearances are the completions that the gateway itself observed lately.
	Clearances []ClearanceReport
	// Convictions are all convictions that the gateway holds, also adopted ones.
	Convictions []ConvictionReport
}

// CrashReport states that requests of the reporting gateway were in flight at an upstream
// when it crashed.
type CrashReport struct {
	Upstream string
	// StartedMillis is the start time of the upstream, in milliseconds since the Unix
	// epoch.
	StartedMillis int64
	// Age is the time since the crash was observed.
	Age time.Duration
	// Requests are the keys of each request, from the widest to the narrowest.
	Requests [][]Key
}

// ClearanceReport states that a request with a key was completed.
type ClearanceReport struct {
	Key Key
	// Age is the time since the request was sent.
	Age time.Duration
}

// ConvictionReport states that a key is convicted.
type ConvictionReport struct {
	Key Key
	// Remaining is the time that is left of the conviction.
	Remaining time.Duration
}

// Report takes the decisions that are due and returns the report for the peers. Ages are
// as of the call.
func (t *Tracker) Report() Report {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	t.settle(now)
	return Report{Crashes: t.reportCrashes(now), Clearances: t.reportClearances(now), Convictions: t.reportConvictions(now)}
}

// reportCrashes returns the own crashes to report. t.mu must be held.
func (t *Tracker) reportCrashes(now bootclock.Instant) []CrashReport {
	var reports []CrashReport
	for id, c := range t.crashes {
		if len(c.ownRequests) == 0 || now.Sub(c.ownAt) >= reportRetention {
			continue
		}
		reports = append(reports, CrashReport{
			Upstream:      id.upstream,
			StartedMillis: id.startedMillis,
			Age:           now.Sub(c.ownAt),
			Requests:      slices.Clone(c.ownRequests),
		})
	}
	return reports
}

// reportClearances returns the own clearances. t.mu must be held.
func (t *Tracker) reportClearances(now bootclock.Instant) []ClearanceReport {
	var reports []ClearanceReport
	for key, v := range t.ownClearances {
		reports = append(reports, ClearanceReport{Key: key, Age: now.Sub(v.sentAt)})
	}
	return reports
}

// reportConvictions returns the active convictions. t.mu must be held.
func (t *Tracker) reportConvictions(now bootclock.Instant) []ConvictionReport {
	var reports []ConvictionReport
	for key, v := range t.convictions {
		if now.Before(v.end) {
			reports = append(reports, ConvictionReport{Key: key, Remaining: v.end.Sub(now)})
		}
	}
	return reports
}

// Apply takes over a report of a peer. It relates the ages to the instant of the call.
func (t *Tracker) Apply(report Report) {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	for _, v := range report.Convictions {
		t.adopt(v.Key, v.Remaining, now)
	}
	for _, v := range report.Clearances {
		sentAt := now.Add(-max(v.Age, 0))
		keepClearance(t.peerClearances, v.Key, sentAt, now)
		t.clear(v.Key, sentAt)
	}
	for _, v := range report.Crashes {
		t.applyCrash(v, now)
	}
	t.settle(now)
}

// applyCrash takes over a peer's crash. t.mu must be held.
func (t *Tracker) applyCrash(report CrashReport, now bootclock.Instant) {
	if report.Age >= evidenceTTL {
		return
	}
	at := now.Add(-max(report.Age, 0))
	c := t.crash(crashID{upstream: report.Upstream, startedMillis: report.StartedMillis}, at)
	for _, keys := range report.Requests {
		if len(keys) > 0 {
			t.addRequest(c, slices.Clone(keys), now)
		}
	}
}
