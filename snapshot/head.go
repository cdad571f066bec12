package snapshot

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"
)

// HistoryLimit is the number of former publications that the head remembers.
const HistoryLimit = 64

// Entry describes one publication in the head's history.
type Entry struct {
	Revision uint64 `json:"revision"`
	// Nonce identifies the writer's attempt.
	Nonce  string `json:"nonce"`
	Author string `json:"author,omitempty"`
	Note   string `json:"note,omitempty"`
	// At is the writer's wall time, for people only.
	At time.Time `json:"at"`
	// Changed names the records that were set or deleted, up to a limit.
	Changed []string `json:"changed,omitempty"`
	// ChangedCount is their full number.
	ChangedCount int `json:"changed_count"`
	// Dropped names the stored buckets that this publication replaced.
	Dropped []string `json:"dropped,omitempty"`
}

// BucketRef says where a bucket is stored and what its records hash to.
type BucketRef struct {
	// Object is the store's key of the bucket, or "" for an empty one.
	Object string
	Hash   Hash
}

// head is the one mutable object: the revision in force and its buckets.
type head struct {
	Revision uint64                 `json:"revision"`
	Hash     Hash                   `json:"hash"`
	Buckets  [BucketCount]BucketRef `json:"buckets"`
	// History holds the newest publication first.
	History []Entry `json:"history"`
}

// find returns the history entry with the nonce, or nil.
func (h *head) find(nonce string) *Entry {
	for i := range h.History {
		if h.History[i].Nonce == nonce {
			return &h.History[i]
		}
	}
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (h Hash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (h *Hash) UnmarshalText(text []byte) error {
	raw, err := hex.DecodeString(string(text))
	if err != nil || len(raw) != len(h) {
		return fmt.Errorf("%q is not a hash", text)
	}
	copy(h[:], raw)
	return nil
}

// String returns the hash in hexadecimal.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// bucketRefJSON is the stored form of a BucketRef.
type bucketRefJSON struct {
	Object string `json:"o"`
	Hash   *Hash  `json:"h"`
}

// MarshalJSON implements json.Marshaler.
func (b BucketRef) MarshalJSON() ([]byte, error) {
	if b.Object == "" {
		return []byte("null"), nil
	}
	return json.Marshal(bucketRefJSON{b.Object, &b.Hash})
}

// UnmarshalJSON implements json.Unmarshaler.
func (b *BucketRef) UnmarshalJSON(data []byte) error {
	*b = BucketRef{}
	var raw bucketRefJSON
	if err := json.Unmarshal(data, &raw); err != nil {
		return err
	}
	b.Object = raw.Object
	if raw.Hash != nil {
		b.Hash = *raw.Hash
	}
	return nil
}
