package report

import (
	"fmt"
	"strings"

	"github.com/greengagegate/greengagegate/internal/load/run"
)

// Markdown returns the report as a Markdown page.
func (f *Results) Markdown() string {
	var b strings.Builder
	fmt.Fprintf(&b, "# Measured figures\n\nCommit %s, seed %d, %d cores, mode %s.\n", f.Commit, f.Seed, f.Cores, f.Mode)
	b.WriteString("Written by `make measure`; the definitions are in docs/MEASURE.md.\n")
	for _, name := range f.scenarioNames() {
		f.writeScenario(&b, name)
	}
	f.writeEntries(&b, "With a surge of the first customer", f.Surges)
	f.writeEntries(&b, "With a crash of a quarter of the engines", f.Crashes)
	f.writeOverhead(&b)
	f.writeTargets(&b)
	return b.String()
}

const tableHeader = `
| policy | requests | hit rate | ttft p50 | p95 (min-max) | p99 ms | recomputed / needed | worst customer p95 | wrongful | failed | truncated | wrong | doubled | false not-run |
|---|---|---|---|---|---|---|---|---|---|---|---|---|---|
`

// writeScenario writes the table of one scenario, with a row for each policy.
func (f *Results) writeScenario(b *strings.Builder, name string) {
	fmt.Fprintf(b, "\n## %s\n", name)
	b.WriteString(tableHeader)
	for _, summary := range f.Entries {
		if summary.Scenario == name {
			writeRow(b, summary.Entry, summary.Min.TTFT95, summary.Max.TTFT95)
		}
	}
}

// writeEntries writes a table with a row for each entry, nothing if there are none.
func (f *Results) writeEntries(b *strings.Builder, title string, entries []run.Entry) {
	if len(entries) == 0 {
		return
	}
	fmt.Fprintf(b, "\n## %s\n", title)
	b.WriteString(tableHeader)
	for _, entry := range entries {
		entry.Policy = entry.Scenario + " " + entry.Policy
		writeRow(b, entry, entry.TTFT95, entry.TTFT95)
	}
}

// writeRow writes the row of an entry under tableHeader. lowP95 and highP95 are the
// smallest and largest p95 of its repeats, in milliseconds.
func writeRow(b *strings.Builder, e run.Entry, lowP95, highP95 float64) {
	fmt.Fprintf(b, "| %s | %d | %.3f | %.0f | %.0f (%.0f-%.0f) | %.0f | %.2f | %.0f | %d | %d | %d | %d | %d | %d |\n",
		e.Policy, e.Requests, e.PrefixHitRate, e.TTFT50, e.TTFT95, lowP95, highP95, e.TTFT99,
		ratio(float64(e.Recomputed), float64(e.Needed)), e.WorstTTFT95, e.WrongfulRefusals, e.Failed,
		e.Truncated, e.WrongAnswers, e.Doubled, e.FalseNotRun)
}

func (f *Results) writeOverhead(b *strings.Builder) {
	if f.Overhead == nil {
		return
	}
	o := f.Overhead
	fmt.Fprintf(b, "\n## Overhead at %d requests/s\n\n", o.RequestsPerSecond)
	b.WriteString("| | p50 ms | p95 ms | p99 ms |\n|---|---|---|---|\n")
	fmt.Fprintf(b, "| straight to an engine | %.2f | %.2f | %.2f |\n", o.Direct.P50, o.Direct.P95, o.Direct.P99)
	fmt.Fprintf(b, "| through router and agent | %.2f | %.2f | %.2f |\n", o.Routed.P50, o.Routed.P95, o.Routed.P99)
	fmt.Fprintf(b, "\nRouters and agents used %.1f us for each token event and %.0f us for each request; an idle one used %.2f%% of a core.\nOne small message over loopback costs this machine %.1f us; router and agent take part in three for each token event. Requests that failed: %v.\n",
		o.CPUPerTokenEvent, o.CPUPerRequest, o.IdleCPUPercent, o.LoopbackCost, o.Failures)
}

func (f *Results) writeTargets(b *strings.Builder) {
	b.WriteString("\n## Targets\n\n| target | value | bound | |\n|---|---|---|---|\n")
	for _, t := range f.Targets {
		if !t.Measured {
			fmt.Fprintf(b, "| %s | - | - | %s |\n", t.Name, t.verdict())
			continue
		}
		fmt.Fprintf(b, "| %s | %.2f | %s | %s |\n", t.Name, t.Value, t.boundText(), t.verdict())
	}
}
