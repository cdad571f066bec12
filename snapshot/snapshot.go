// Package snapshot keeps a versioned set of small records. Many processes each
// hold a full copy of it. The package has immutable snapshots, the changes between
// them, and a repository in the platform's store to which several writers can
// commit concurrently.
//
// Records are hashed into a fixed number of buckets. A snapshot's hash covers
// its revision and every bucket, so two processes with equal revision and hash
// hold the same records.
package snapshot

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"sort"
)

// BucketCount is the number of buckets of every snapshot. Stored heads have this
// number of references.
const BucketCount = 64

// Hash is a SHA-256 hash.
type Hash [sha256.Size]byte

// Record is a key with its value.
type Record struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// bucket holds the records of one bucket in key order and their hash. It is
// immutable; the hash of an empty bucket is zero.
type bucket struct {
	records []Record
	hash    Hash
}

// Snapshot is an immutable set of records at one revision. The zero value is
// the empty snapshot of revision 0.
type Snapshot struct {
	revision uint64
	buckets  [BucketCount]bucket
}

// Change sets or deletes one record.
type Change struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

// BucketIndex returns the index of the bucket that holds key, from 0 to
// BucketCount-1.
func BucketIndex(key string) int {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key))
	return int(h.Sum64() % BucketCount)
}

// Revision returns the snapshot's revision.
func (s *Snapshot) Revision() uint64 { return s.revision }

// Hash returns the hash of the revision and all records.
func (s *Snapshot) Hash() Hash {
	h := sha256.New()
	var revision [8]byte
	binary.BigEndian.PutUint64(revision[:], s.revision)
	h.Write(revision[:])
	for i := range s.buckets {
		h.Write(s.buckets[i].hash[:])
	}
	return Hash(h.Sum(nil))
}

// BucketHash returns the hash of one bucket. An empty bucket has the zero hash.
func (s *Snapshot) BucketHash(index int) Hash { return s.buckets[index].hash }

// Bucket returns the records of one bucket in key order. The caller must not change them.
func (s *Snapshot) Bucket(index int) []Record { return s.buckets[index].records }

// Get returns the value of key and reports whether the record exists.
func (s *Snapshot) Get(key string) ([]byte, bool) {
	records := s.buckets[BucketIndex(key)].records
	i := sort.Search(len(records), func(i int) bool { return records[i].Key >= key })
	if i == len(records) || records[i].Key != key {
		return nil, false
	}
	return records[i].Value, true
}

// Len returns the number of records.
func (s *Snapshot) Len() int {
	total := 0
	for i := range s.buckets {
		total += len(s.buckets[i].records)
	}
	return total
}

// Records returns all records in key order.
func (s *Snapshot) Records() []Record {
	records := make([]Record, 0, s.Len())
	for i := range s.buckets {
		records = append(records, s.buckets[i].records...)
	}
	sort.Slice(records, func(i, j int) bool { return records[i].Key < records[j].Key })
	return records
}

// Apply returns a snapshot with the given revision that has the records of s
// with the changes applied. A later change of a key overrides an earlier one.
// Buckets without changes are shared with s.
func (s *Snapshot) Apply(revision uint64, changes []Change) *Snapshot {
	next := &Snapshot{revision: revision, buckets: s.buckets}
	changesByBucket := make(map[int][]Change)
	for _, change := range changes {
		index := BucketIndex(change.Key)
		changesByBucket[index] = append(changesByBucket[index], change)
	}
	for index, bucketChanges := range changesByBucket {
		next.buckets[index] = newBucket(applyChanges(s.buckets[index].records, bucketChanges))
	}
	return next
}

// Replace returns a snapshot with the given revision in which the given buckets
// have the given records; the other buckets are those of s. It returns an error
// if a bucket does not exist or a record belongs to another bucket. It copies the
// slices of records; the values are shared.
func (s *Snapshot) Replace(revision uint64, buckets map[int][]Record) (*Snapshot, error) {
	next := &Snapshot{revision: revision, buckets: s.buckets}
	for index, records := range buckets {
		if index < 0 || index >= BucketCount {
			return nil, fmt.Errorf("bucket %d does not exist", index)
		}
		for _, record := range records {
			if BucketIndex(record.Key) != index {
				return nil, fmt.Errorf("record %q is not of bucket %d", record.Key, index)
			}
		}
		next.buckets[index] = newBucket(records)
	}
	return next, nil
}

// Diff returns the changes that turn the records of s into those of other, in
// key order.
func (s *Snapshot) Diff(other *Snapshot) []Change {
	var changes []Change
	for i := range s.buckets {
		if s.buckets[i].hash != other.buckets[i].hash {
			changes = append(changes, diffRecords(s.buckets[i].records, other.buckets[i].records)...)
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Key < changes[j].Key })
	return changes
}

// applyChanges returns a copy of the records with the changes applied, in no
// particular order.
func applyChanges(records []Record, changes []Change) []Record {
	byKey := make(map[string][]byte, len(records)+len(changes))
	for _, record := range records {
		byKey[record.Key] = record.Value
	}
	for _, change := range changes {
		if change.Deleted {
			delete(byKey, change.Key)
			continue
		}
		byKey[change.Key] = change.Value
	}
	next := make([]Record, 0, len(byKey))
	for key, value := range byKey {
		next = append(next, Record{key, value})
	}
	return next
}

// newBucket returns a bucket with a sorted copy of the records and their hash.
// The hash covers the length of each key and value, so that different
// records whose concatenated bytes are equal have different hashes.
func newBucket(records []Record) bucket {
	if len(records) == 0 {
		return bucket{}
	}
	records = append([]Record(nil), records...)
	sort.Slice(records, func(i, j int) bool { return records[i].Key < records[j].Key })
	h := sha256.New()
	var length [binary.MaxVarintLen64]byte
	for _, record := range records {
		h.Write(binary.AppendUvarint(length[:0], uint64(len(record.Key))))
		h.Write([]byte(record.Key))
		h.Write(binary.AppendUvarint(length[:0], uint64(len(record.Value))))
		h.Write(record.Value)
	}
	return bucket{records: records, hash: Hash(h.Sum(nil))}
}

// diffRecords returns the changes that turn the records from into the records to,
// in no particular order.
func diffRecords(from, to []Record) []Change {
	oldValues := make(map[string][]byte, len(from))
	for _, record := range from {
		oldValues[record.Key] = record.Value
	}
	var changes []Change
	for _, record := range to {
		value, ok := oldValues[record.Key]
		if !ok || string(value) != string(record.Value) {
			changes = append(changes, Change{Key: record.Key, Value: record.Value})
		}
		delete(oldValues, record.Key)
	}
	for key := range oldValues {
		changes = append(changes, Change{Key: key, Deleted: true})
	}
	return changes
}
