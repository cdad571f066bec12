package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/greengagegate/greengagegate/store"
)

// recordPrefix is the prefix of the keys of the records; a pool's name follows it.
const recordPrefix = "gateway-rollouts/"

// record is what the store keeps of a rollout, so that the next holder of the orders lease
// continues from there.
type record struct {
	Target  string `json:"target"`
	Created int64  `json:"created"`
	// Step and Elapsed hold their durations in nanoseconds.
	Step     Step          `json:"step"`
	Canaries int           `json:"canaries"`
	Elapsed  time.Duration `json:"elapsed"`
	Reason   string        `json:"reason,omitempty"`
}

// readRecord returns the record of an order and the version of its object. A record that is
// missing, unreadable or of another order yields the zero record without an error; other errors
// are those of store.Store.Get.
func readRecord(ctx context.Context, s store.Store, id OrderID) (record, int64, error) {
	object, err := s.Get(ctx, recordPrefix+id.Pool)
	if errors.Is(err, store.ErrNotFound) {
		return record{}, store.VersionAbsent, nil
	}
	if err != nil {
		return record{}, 0, err
	}
	var found record
	isReadable := json.Unmarshal(object.Value, &found) == nil
	if !isReadable || found.Target != id.Target || found.Created != id.Created {
		return record{}, object.Version, nil
	}
	return found, object.Version, nil
}

// writeRecord replaces the record of an order and returns the version of its object. It
// returns the errors of store.Store.Put, store.ErrConflict if the object does not have the
// expected version.
func writeRecord(ctx context.Context, s store.Store, update *Update, expected int64) (int64, error) {
	value, err := json.Marshal(record{
		Target: update.Order.Target, Created: update.Order.Created, Step: update.Step,
		Canaries: update.Canaries, Elapsed: update.Elapsed, Reason: update.Reason,
	})
	if err != nil {
		return 0, err
	}
	return s.Put(ctx, recordPrefix+update.Order.Pool, value, expected)
}
