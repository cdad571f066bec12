package report

import (
	"fmt"

	"github.com/greengagegate/greengagegate/internal/load/run"
)

// The policies that targets compare.
const (
	policyRandom      = "random"
	policyLeastLoaded = "least-loaded"
	policyProbeAll    = "probe-all"
	policyPrefix      = "prefix"
)

// Target is a figure that the project aims for.
type Target struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	// Bound is the largest value, or with AtLeast the smallest, that meets the target.
	Bound    float64 `json:"bound"`
	AtLeast  bool    `json:"at_least,omitempty"`
	Measured bool    `json:"measured"`
	Met      bool    `json:"met"`
}

func atLeast(name string, value, bound float64) Target {
	return Target{Name: name, Value: value, Bound: bound, AtLeast: true, Measured: true, Met: value >= bound}
}

func atMost(name string, value, bound float64) Target {
	return Target{Name: name, Value: value, Bound: bound, Measured: true, Met: value <= bound}
}

// ratioAtMost is atMost for a ratio that is 0 when there was nothing to compare.
func ratioAtMost(name string, value, bound float64) Target {
	if value == 0 {
		return Target{Name: name, Bound: bound}
	}
	return atMost(name, value, bound)
}

// verdict says in words how a target stands.
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

func (t Target) bound() string {
	if t.AtLeast {
		return fmt.Sprintf(">= %.2f", t.Bound)
	}
	return fmt.Sprintf("<= %.2f", t.Bound)
}

// SetTargets computes the targets from the file's entries.
func (f *File) SetTargets() {
	f.Targets = nil
	for _, name := range f.scenarios() {
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

func (f *File) placementTargets(name string) []Target {
	prefix, least := f.entry(name, policyPrefix), f.entry(name, policyLeastLoaded)
	random, all := f.entry(name, policyRandom), f.entry(name, policyProbeAll)
	if prefix == nil || least == nil || random == nil || all == nil {
		return []Target{{Name: name + ": placement"}}
	}
	better := min(random.TTFT95, least.TTFT95)
	beyond := ratio(float64(prefix.Recomputed-prefix.Needed), float64(prefix.Needed))
	return []Target{
		atLeast(name+": hit rate / least-loaded", ratio(prefix.PrefixHitRate, least.PrefixHitRate), 1.7),
		atLeast(name+": hit rate / probe-all", ratio(prefix.PrefixHitRate, all.PrefixHitRate), 0.97),
		ratioAtMost(name+": ttft p95 / better of random and least-loaded", ratio(prefix.TTFT95, better), 0.65),
		ratioAtMost(name+": ttft p95 / probe-all", ratio(prefix.TTFT95, all.TTFT95), 1.1),
		atMost(name+": recomputed beyond need / need", beyond, 0.4),
	}
}

func (f *File) overheadTargets() []Target {
	if f.Overhead == nil {
		return []Target{{Name: "overhead"}}
	}
	return []Target{
		atMost("added to an idle engine's first token, median, ms", f.Overhead.AddedP50, 2),
		atMost("added to an idle engine's first token, p99, ms", f.Overhead.AddedP99, 5),
		atMost("processor time of router and agent for each token event, us", f.Overhead.CPUPerTokenEvent, 15),
	}
}

func (f *File) scenarios() []string {
	var names []string
	known := make(map[string]bool)
	for _, entry := range f.Entries {
		if !known[entry.Scenario] {
			known[entry.Scenario] = true
			names = append(names, entry.Scenario)
		}
	}
	return names
}

func (f *File) entry(scenario, policy string) *run.Entry {
	for i := range f.Entries {
		if f.Entries[i].Scenario == scenario && f.Entries[i].Policy == policy {
			return &f.Entries[i].Entry
		}
	}
	return nil
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
