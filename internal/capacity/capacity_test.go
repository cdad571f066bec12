package capacity

import (
	"os"
	"strings"
	"testing"

	"github.com/greengagegate/greengagegate/internal/slope"
)

// Guards against a capacity page that was not updated after measure/slopes.json or the
// computation changed.
func TestPageMatchesRecordedSlopes(t *testing.T) {
	record, err := ReadRecord("../../measure/slopes.json")
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	got, err := ComputedPart(string(page))
	if err != nil {
		t.Fatal(err)
	}
	want, err := Tables(record)
	if err != nil {
		t.Fatal(err)
	}
	if got != want {
		t.Fatalf("docs/CAPACITY.md differs from the tables computed from measure/slopes.json; run make slopes.\npage:\n%s\ntables:\n%s", got, want)
	}
}

// Guards against an update that does not fill an empty computed part, that changes
// text outside the markers, or that gives another page when it is repeated.
func TestUpdateReplacesOnlyComputedPart(t *testing.T) {
	record, err := ReadRecord("../../measure/slopes.json")
	if err != nil {
		t.Fatal(err)
	}
	page := "head\n" + beginMarker + "\n" + endMarker + "\ntail\n"
	updated, err := Update(page, record)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.HasPrefix(updated, "head\n"+beginMarker+"\n### ") || !strings.HasSuffix(updated, endMarker+"\ntail\n") {
		t.Fatalf("updated page:\n%s", updated)
	}
	if again, err := Update(updated, record); err != nil || again != updated {
		t.Fatalf("a second update changed the page: %v", err)
	}
}

func TestFitInterpolatesAndExtrapolates(t *testing.T) {
	record := Record{}
	for _, size := range []float64{30, 10, 20} {
		record.Points = append(record.Points, slope.Point{Name: "x", Size: size, BytesPerSecond: 2 * size, HeapBytes: size * size})
	}
	curve, err := record.Curve("x")
	if err != nil {
		t.Fatal(err)
	}
	if got := curve.CostAt(15); got.BytesPerSecond != 30 || got.HeapBytes != 250 {
		t.Fatalf("between measured sizes: %+v", got)
	}
	if got := curve.CostAt(50); got.BytesPerSecond != 100 || got.HeapBytes != 1900 {
		t.Fatalf("beyond the largest measured size: %+v", got)
	}
	if _, err := record.Curve("y"); err == nil {
		t.Fatal("Curve returned no error for a name without points")
	}
}

func TestVerdictStatesUseOfBudget(t *testing.T) {
	if got := verdict(50, 100); got != "holds, 50% used" {
		t.Fatal(got)
	}
	if got := verdict(150, 100); !strings.Contains(got, "1.5 times") {
		t.Fatal(got)
	}
}
