package invariant

import "testing"

func TestCheckPanicsInTestsAndCounts(t *testing.T) {
	Check(true, "sample", "must not be reported")
	if Violations("sample") != 0 {
		t.Fatal("a held invariant was counted")
	}
	defer func() {
		if recover() == nil {
			t.Fatal("a broken invariant must panic in tests")
		}
		if Violations("sample") != 1 {
			t.Fatalf("got %d violations, want 1", Violations("sample"))
		}
	}()
	Check(false, "sample", "value %d", 3)
}
