package object

import (
	"github.com/greengagegate/greengagegate/snapshot"
)

// FromSnapshot decodes and checks the records of a snapshot.
func FromSnapshot(s *snapshot.Snapshot) (*Set, error) {
	set, mistakes := Check(s.Revision(), Documents(s))
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
