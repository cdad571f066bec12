package object

import (
	"github.com/greengagegate/greengagegate/snapshot"
)

// FromSnapshot decodes and checks the records of a snapshot.
func FromSnapshot(s *snapshot.Snapshot) (*Set, error) {
	return Update(nil, nil, s)
}

// Update decodes and checks the records of a snapshot. Objects whose records are
// the same in a former snapshot are shared with its set, which may be nil.
func Update(former *Set, base, s *snapshot.Snapshot) (*Set, error) {
	documents := Documents(s)
	if former != nil {
		changed := make(map[string]bool)
		for _, change := range base.Diff(s) {
			changed[change.Key] = true
		}
		for i := range documents {
			if !changed[documents[i].Key()] {
				documents[i].decoded = former.object(documents[i].Kind, documents[i].Name)
			}
		}
	}
	set, mistakes := Check(s.Revision(), documents)
	if len(mistakes) > 0 {
		return nil, mistakes
	}
	return set, nil
}

// Documents returns the objects of a snapshot in key order.
func Documents(s *snapshot.Snapshot) []Document {
	records := s.Records()
	documents := make([]Document, len(records))
	for i, record := range records {
		kind, name := SplitKey(record.Key)
		documents[i] = Document{Kind: kind, Name: name, Spec: record.Value}
	}
	return documents
}

// object returns the object of the kind and name, or nil.
func (s *Set) object(kind Kind, name string) any {
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
