package report

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/greengagegate/greengagegate/internal/load/evaluate"
	"github.com/greengagegate/greengagegate/internal/load/run"
)

func newEntry(policy string, hitRate, p95 float64) run.Entry {
	return run.Entry{
		Scenario: "limon", Policy: policy,
		Figures: evaluate.Figures{Requests: 10, PrefixHitRate: hitRate, TTFT95: p95, Recomputed: 130, Needed: 100},
	}
}

// Guards against a summary that takes all figures from one repeat: each number must
// be ranked independently of the other numbers.
func TestSummaryRanksEachFigureIndependently(t *testing.T) {
	summary, err := Summarize([]run.Entry{newEntry("prefix", 0.9, 300), newEntry("prefix", 0.7, 100), newEntry("prefix", 0.8, 200)})
	if err != nil {
		t.Fatal(err)
	}
	if summary.PrefixHitRate != 0.8 || summary.TTFT95 != 200 || summary.Min.TTFT95 != 100 || summary.Max.PrefixHitRate != 0.9 {
		t.Fatalf("%+v", summary)
	}
	if summary.Policy != "prefix" || summary.Recomputed != 130 {
		t.Fatalf("%+v", summary)
	}
}

// Guards against a page that leaves out targets that are not met or not measured.
func TestPageShowsTargetsNotMetAndNotMeasured(t *testing.T) {
	f := &Results{}
	for _, e := range []run.Entry{
		newEntry(policyRandom, 0.4, 1000), newEntry(policyLeastLoaded, 0.4, 800),
		newEntry(policyProbeAll, 0.76, 500), newEntry(policyPrefix, 0.75, 560),
	} {
		summary, err := Summarize([]run.Entry{e})
		if err != nil {
			t.Fatal(err)
		}
		f.Entries = append(f.Entries, summary)
	}
	f.SetTargets()
	wantMet := map[string]bool{
		"hit rate / least-loaded": true, "hit rate / probe-all": true,
		"ttft p95 / better": false, "ttft p95 / probe-all": false, "recomputed": true,
	}
	for nameFragment, want := range wantMet {
		found := false
		for _, target := range f.Targets {
			if strings.Contains(target.Name, nameFragment) {
				found = true
				if target.Met != want {
					t.Errorf("%+v, want met %v", target, want)
				}
			}
		}
		if !found {
			t.Errorf("no target name contains %q", nameFragment)
		}
	}
	page := f.Markdown()
	if !strings.Contains(page, "**not met**") || !strings.Contains(page, "| - | - | not run |") {
		t.Errorf("page does not show a target that is not met or one that was not run:\n%s", page)
	}
	path := filepath.Join(t.TempDir(), "plot.svg")
	if err := f.Plot(path); err != nil {
		t.Fatal(err)
	}
	if svg, err := os.ReadFile(path); err != nil || !strings.Contains(string(svg), "least-loaded") {
		t.Errorf("plot does not contain the policy label: %v", err)
	}
}
