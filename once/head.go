package once

import (
	"fmt"
	"strings"

	"github.com/greengagegate/greengagegate/internal/fault"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/greengagegate/greengagegate/store"
	"google.golang.org/protobuf/proto"
)

const keyPrefix = "once/"

func shardTableKey(pool string) string { return keyPrefix + pool + "/table" }

func headPrefix(pool string) string { return keyPrefix + pool + "/head/" }

func headKey(pool string, shard int) string { return fmt.Sprintf("%s%05d", headPrefix(pool), shard) }

func segmentPrefix(pool string, shard int) string {
	return fmt.Sprintf("%s%s/segment/%05d/", keyPrefix, pool, shard)
}

// segmentName returns a name that is unique among the segments of all owners of
// a shard: the owner's epoch in the upper 32 bits and its sequence number in the
// lower.
func segmentName(epoch, sequence uint64) uint64 { return epoch<<32 | sequence }

func segmentKey(pool string, shard int, name uint64) string {
	return fmt.Sprintf("%s%016x", segmentPrefix(pool, shard), name)
}

// storedHead is a shard's head as read from the store. head is nil when the
// store has none.
type storedHead struct {
	head    *wirepb.OnceHead
	version int64
}

func decodeHead(object store.Object) (storedHead, error) {
	head := new(wirepb.OnceHead)
	if err := proto.Unmarshal(object.Value, head); err != nil {
		return storedHead{}, fault.Wrap(err, "decode shard", object.Key)
	}
	return storedHead{head: head, version: object.Version}, nil
}

// shardFromKey returns the number of the shard whose head is stored at key, and
// false when key holds no number after the prefix of the heads.
func shardFromKey(pool, key string) (int, bool) {
	var shard int
	_, err := fmt.Sscanf(strings.TrimPrefix(key, headPrefix(pool)), "%d", &shard)
	return shard, err == nil
}

func peerToWire(p Peer) *wirepb.OncePeer {
	return &wirepb.OncePeer{Process: p.Process, Address: p.Address, Incarnation: p.Incarnation}
}

func peerFromWire(p *wirepb.OncePeer) Peer {
	return Peer{Process: p.GetProcess(), Address: p.GetAddress(), Incarnation: p.GetIncarnation()}
}

func peersToWire(peers []Peer) []*wirepb.OncePeer {
	var out []*wirepb.OncePeer
	for _, p := range peers {
		out = append(out, peerToWire(p))
	}
	return out
}

func peersFromWire(peers []*wirepb.OncePeer) []Peer {
	var out []Peer
	for _, p := range peers {
		out = append(out, peerFromWire(p))
	}
	return out
}
