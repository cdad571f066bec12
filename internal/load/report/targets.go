package report

import (
	"fmt"

	"github.com/greengagegate/greengagegate/internal/load/run"
)

// Names of the policies that the targets compare.
const (
	policyRandom      = "random"
	policyLeastLoaded = "least-loaded"
	policyProbeAll    = "probe-all"
	policyPrefix      = "prefix"
)

// Target compares a figure with the bound that the project aims for.
type Target struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	// Bound is the largest value that meets the target, or the smallest if AtLeast
	// is true.
	Bound    float64 `json:"bound"`
	AtLeast  bool    `json:"at_least,omitempty"`
	Measured bool    `json:"measured"`
	Met      bool    `json:"met"`
}

// atLeast returns a measured target that is met if value is at least bound.
func atLeast(name string, value, bound float64) Target {
	return Target{Name: name, Value: value, Bound: bound, AtLeast: true, Measured: true, Met: value >= bound}
}

// atMost returns a measured target that is met if value is at most bound.
func atMost(name string, value, bound float64) Target {
	return Target{Name: name, Value: value, Bound: bound, Measured: true, Met: value <= bound}
}

// ratioAtMost is atMost for a ratio. A ratio of 0 means that there was nothing to
// compare, and the target is not measured.
func ratioAtMost(name string, value, bound float64) Target {
	if value == 0 {
		return Target{Name: name, Bound: bound}
	}
	return atMost(name, value, bound)
}

// verdict returns the text of the result column: "not run", "met" or a bold "not
// met".
func (t Target) verdict() string {
	switch {
	case !t.Measured:
		return "not run"
	case t.Met:
		return "met"
	default:
		return "**not met**"
	}
}

// boundText returns the text of the bound column.
func (t Target) boundText() string {
	if t.AtLeast {
		return fmt.Sprintf(">= %.2f", t.Bound)
	}
	return fmt.Sprintf("<= %.2f", t.Bound)
}

// SetTargets replaces f.Targets with targets computed from the entries, surges, crashes
// and overhead. If a compared policy of a scenario was not run, the scenario gets a
// single target that is not measured. A missing overhead measurement also gives a
// single target that is not measured.
func (f *Results) SetTargets() {
	f.Targets = nil
	for _, name := range f.scenarioNames() {
		f.Targets = append(f.Targets, f.placementTargets(name)...)
	}
	for _, entry := range f.Surges {
		name := entry.Scenario + ": worst customer's ttft p95 / median customer's, one at 5x its rate"
		f.Targets = append(f.Targets, ratioAtMost(name, ratio(entry.WorstTTFT95, entry.MedianTTFT95), 1.5))
	}
	for _, entry := range f.Crashes {
		name := entry.Scenario + ": ttft p95 from 5 s after a crash of one engine in four / before it"
		f.Targets = append(f.Targets, ratioAtMost(name, entry.CrashP95Ratio, 1.2))
	}
	f.Targets = append(f.Targets, f.overheadTargets()...)
}

// placementTargets compares the prefix policy with the other policies in one
// scenario.
func (f *Results) placementTargets(name string) []Target {
	prefix, leastLoaded := f.findEntry(name, policyPrefix), f.findEntry(name, policyLeastLoaded)
	random, probeAll := f.findEntry(name, policyRandom), f.findEntry(name, policyProbeAll)
	if prefix == nil || leastLoaded == nil || random == nil || probeAll == nil {
		return []Target{{Name: name + ": placement"}}
	}
	betterP95 := min(random.TTFT95, leastLoaded.TTFT95)
	excess := ratio(float64(prefix.Recomputed-prefix.Needed), float64(prefix.Needed))
	return []Target{
		atLeast(name+": hit rate / least-loaded", ratio(prefix.PrefixHitRate, leastLoaded.PrefixHitRate), 1.7),
		atLeast(name+": hit rate / probe-all", ratio(prefix.PrefixHitRate, probeAll.PrefixHitRate), 0.97),
		ratioAtMost(name+": ttft p95 / better of random and least-loaded", ratio(prefix.TTFT95, betterP95), 0.65),
		ratioAtMost(name+": ttft p95 / probe-all", ratio(prefix.TTFT95, probeAll.TTFT95), 1.1),
		atMost(name+": recomputed beyond need / need", excess, 0.4),
	}
}

// overheadTargets returns the targets on the time and processor use that router and
// agent add.
func (f *Results) overheadTargets() []Target {
	if f.Overhead == nil {
		return []Target{{Name: "overhead"}}
	}
	return []Target{
		atMost("added to an idle engine's first token, median, ms", f.Overhead.AddedP50, 2),
		atMost("added to an idle engine's first token, p99, ms", f.Overhead.AddedP99, 5),
		atMost("processor time of router and agent for each token event, us", f.Overhead.CPUPerTokenEvent, 15),
	}
}

// scenarioNames returns the scenarios of the entries, in the order of their first
// entry.
func (f *Results) scenarioNames() []string {
	var names []string
	seen := make(map[string]bool)
	for _, entry := range f.Entries {
		if !seen[entry.Scenario] {
			seen[entry.Scenario] = true
			names = append(names, entry.Scenario)
		}
	}
	return names
}

// findEntry returns the medians of a scenario and policy, nil if there are none. It
// points into f.Entries.
func (f *Results) findEntry(scenario, policy string) *run.Entry {
	for i := range f.Entries {
		if f.Entries[i].Scenario == scenario && f.Entries[i].Policy == policy {
			return &f.Entries[i].Entry
		}
	}
	return nil
}

// ratio returns numerator/denominator, 0 if the denominator is 0.
func ratio(numerator, denominator float64) float64 {
	if denominator == 0 {
		return 0
	}
	return numerator / denominator
}
