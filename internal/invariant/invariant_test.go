package invariant

import "testing"

func TestCheckPanicsInTestsAndCounts(t *testing.T) {
	Check(true, "sample", "not reported")
	if Violations("sample") != 0 {
		t.Fatal("an invariant that holds was counted as violated")
	}
	defer func() {
		if recover() == nil {
			t.Fatal("a violation did not panic in a test")
		}
		if Violations("sample") != 1 {
			t.Fatalf("got %d violations, want 1", Violations("sample"))
		}
	}()
	Check(false, "sample", "value %d", 3)
}
