package capacity

import (
	"os"
	"strings"
	"testing"

	"github.com/greengagegate/greengagegate/internal/slope"
)

func TestPageFollowsFromRecordedSlopes(t *testing.T) {
	record, err := ReadRecord("../../measure/slopes.json")
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	got, err := Computed(string(page))
	if err != nil {
		t.Fatal(err)
	}
	want, err := Tables(record)
	if err != nil {
		t.Fatal(err)
	}
	if got != want {
		t.Fatalf("the page differs from the tables that the slopes give; run make slopes.\npage:\n%s\ntables:\n%s", got, want)
	}
}

func TestUpdateFillsAnEmptyPartInItsPlace(t *testing.T) {
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
		t.Fatalf("got:\n%s", updated)
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
	fit, err := record.Fit("x")
	if err != nil {
		t.Fatal(err)
	}
	if got := fit.At(15); got.BytesPerSecond != 30 || got.HeapBytes != 250 {
		t.Fatalf("between: %+v", got)
	}
	if got := fit.At(50); got.BytesPerSecond != 100 || got.HeapBytes != 1900 {
		t.Fatalf("beyond: %+v", got)
	}
	if _, err := record.Fit("y"); err == nil {
		t.Fatal("a relation without points was accepted")
	}
}

func TestVerdictSaysByHowMuch(t *testing.T) {
	if got := verdict(50, 100); got != "holds, 50% used" {
		t.Fatal(got)
	}
	if got := verdict(150, 100); !strings.Contains(got, "1.5 times") {
		t.Fatal(got)
	}
}
