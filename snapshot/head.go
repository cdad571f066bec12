package snapshot

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"
)

// HistoryLimit is the largest number of publications in the head's history.
const HistoryLimit = 64

// Entry describes one publication in the head's history.
type Entry struct {
	Revision uint64 `json:"revision"`
	// Nonce identifies one attempt of a writer to commit.
	Nonce  string `json:"nonce"`
	Author string `json:"author,omitempty"`
	Note   string `json:"note,omitempty"`
	// At is the writer's wall time. It is only displayed, never compared.
	At time.Time `json:"at"`
	// Changed lists the keys of the records that were set or deleted, at most
	// maxChangedKeys of them.
	Changed []string `json:"changed,omitempty"`
	// ChangedCount is the number of all records that were set or deleted.
	ChangedCount int `json:"changed_count"`
	// ReplacedBuckets lists the store's keys of the buckets that this
	// publication replaced. It is cleared once they are deleted.
	ReplacedBuckets []string `json:"dropped,omitempty"`
}

// BucketRef is a reference to a stored bucket.
type BucketRef struct {
	// Object is the store's key of the bucket, or "" if the bucket is empty.
	Object string
	// Hash is the hash of the bucket's records.
	Hash Hash
}

// head is the content of the head object, the only object that is overwritten:
// the current revision and its buckets.
type head struct {
	Revision uint64                 `json:"revision"`
	Hash     Hash                   `json:"hash"`
	Buckets  [BucketCount]BucketRef `json:"buckets"`
	// History holds the newest publication first.
	History []Entry `json:"history"`
}

// find returns the history entry with the nonce, or nil if there is none.
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
	decoded, err := hex.DecodeString(string(text))
	if err != nil || len(decoded) != len(h) {
		return fmt.Errorf("%q is not a hash", text)
	}
	copy(h[:], decoded)
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
	var stored bucketRefJSON
	if err := json.Unmarshal(data, &stored); err != nil {
		return err
	}
	b.Object = stored.Object
	if stored.Hash != nil {
		b.Hash = *stored.Hash
	}
	return nil
}
