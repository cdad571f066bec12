package snapshot

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// drawChanges returns up to 50 random changes of 201 possible keys.
func drawChanges(t *rapid.T) []Change {
	drawChange := rapid.Custom(func(t *rapid.T) Change {
		key := fmt.Sprintf("k%d", rapid.IntRange(0, 200).Draw(t, "key"))
		if rapid.Bool().Draw(t, "deleted") {
			return Change{Key: key, Deleted: true}
		}
		return Change{Key: key, Value: []byte(rapid.StringN(0, 5, 20).Draw(t, "value"))}
	})
	return rapid.SliceOfN(drawChange, 0, 50).Draw(t, "changes")
}

// recordMap returns the result of Records as a map.
func recordMap(s *Snapshot) map[string]string {
	values := make(map[string]string)
	for _, record := range s.Records() {
		values[record.Key] = string(record.Value)
	}
	return values
}

// Apply, Diff and Get are compared with a plain map over random changes.
func TestApplyAndDiffAgreeWithAMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := make(map[string]string)
		s := new(Snapshot)
		for revision := range uint64(3) {
			changes := drawChanges(t)
			for _, change := range changes {
				delete(model, change.Key)
				if !change.Deleted {
					model[change.Key] = string(change.Value)
				}
			}
			next := s.Apply(revision+1, changes)
			if got := recordMap(next); fmt.Sprint(got) != fmt.Sprint(model) {
				t.Fatalf("snapshot has records %v, want %v", got, model)
			}
			if replayed := s.Apply(revision+1, s.Diff(next)); replayed.Hash() != next.Hash() {
				t.Fatal("applying the result of Diff gives another hash")
			}
			for key, value := range model {
				if got, ok := next.Get(key); !ok || string(got) != value {
					t.Fatalf("Get(%q) = %q, %t", key, got, ok)
				}
			}
			s = next
		}
	})
}

// The hash must differ if only the revision, a value, the number of records or
// the boundary between key and value differs.
func TestHashDependsOnRevisionAndRecords(t *testing.T) {
	base := new(Snapshot).Apply(1, []Change{{Key: "a", Value: []byte("1")}})
	variants := map[string]*Snapshot{
		"revision":       base.Apply(2, nil),
		"value":          base.Apply(1, []Change{{Key: "a", Value: []byte("2")}}),
		"further record": base.Apply(1, []Change{{Key: "b", Value: []byte("1")}}),
		"shifted bytes":  new(Snapshot).Apply(1, []Change{{Key: "a1", Value: nil}}),
	}
	for name, variant := range variants {
		if variant.Hash() == base.Hash() {
			t.Errorf("%s: snapshots that differ have equal hashes", name)
		}
	}
}

// The test guards against a Replace that accepts a bucket that does not exist, or a record
// outside the bucket of its key, where a later change would not find it.
func TestReplaceRejectsMisplacedRecords(t *testing.T) {
	index := BucketIndex("a")
	s := new(Snapshot)
	if _, err := s.Replace(1, map[int][]Record{(index + 1) % BucketCount: {{Key: "a"}}}); err == nil {
		t.Error("Replace accepted a record in the wrong bucket")
	}
	if _, err := s.Replace(1, map[int][]Record{BucketCount: nil}); err == nil {
		t.Error("Replace accepted a bucket that does not exist")
	}
}
