package object

import (
	"github.com/greengagegate/greengagegate/snapshot"
)

// FromSnapshot returns the checked set of the snapshot's records. If the records
// have mistakes, the error is of type Mistakes.
func FromSnapshot(s *snapshot.Snapshot) (*Set, error) {
	return Update(nil, nil, s)
}

// Update returns the checked set of the snapshot's records, as FromSnapshot does.
// Objects whose records are unchanged since previousSnapshot are not decoded again
// but shared with previous, the set of that snapshot. If previous is nil, all
// objects are decoded and previousSnapshot is ignored.
func Update(previous *Set, previousSnapshot, s *snapshot.Snapshot) (*Set, error) {
	documents := Documents(s)
	if previous != nil {
		changed := make(map[string]bool)
		for _, change := range previousSnapshot.Diff(s) {
			changed[change.Key] = true
		}
		for i := range documents {
			if !changed[documents[i].Key()] {
				documents[i].decoded = previous.lookUp(documents[i].Kind, documents[i].Name)
			}
		}
	}
	set, mistakes := Check(s.Revision(), documents)
	if len(mistakes) > 0 {
		return nil, mistakes
	}
	return set, nil
}

// Documents returns the records of a snapshot as documents, in key order.
func Documents(s *snapshot.Snapshot) []Document {
	records := s.Records()
	documents := make([]Document, len(records))
	for i, record := range records {
		kind, name := SplitKey(record.Key)
		documents[i] = Document{Kind: kind, Name: name, Spec: record.Value}
	}
	return documents
}

// lookUp returns the object with the kind and name, which must be in the set, or
// nil for an unknown kind.
func (s *Set) lookUp(kind Kind, name string) any {
	switch kind {
	case KindCustomer:
		return s.Customers[name]
	case KindKey:
		return s.Keys[name]
	case KindRoute:
		return s.Routes[name]
	case KindUpstream:
		return s.Upstreams[name]
	case KindModelVersion:
		return s.ModelVersions[name]
	case KindFleet:
		return &s.Fleet
	default:
		return nil
	}
}
