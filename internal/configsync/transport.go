package configsync

import (
	"context"

	"github.com/greengagegate/greengagegate/internal/metrics"
	"github.com/greengagegate/greengagegate/internal/wire"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/greengagegate/greengagegate/snapshot"
	"google.golang.org/protobuf/proto"
)

// Transport carries exchanges to peers. Exchange blocks until it returns a reply or an
// error. After an error, the peer may or may not have handled the request.
type Transport interface {
	Exchange(ctx context.Context, address string, request *wirepb.ConfigExchange) (*wirepb.ConfigReply, error)
}

// poolTransport implements Transport on top of the wire protocol between processes.
type poolTransport struct{ pool *wire.Pool }

// NewTransport returns a Transport that sends exchanges through the pool.
func NewTransport(pool *wire.Pool) Transport { return poolTransport{pool} }

// Exchange implements Transport.
func (t poolTransport) Exchange(ctx context.Context, address string, request *wirepb.ConfigExchange) (*wirepb.ConfigReply, error) {
	kind := wirepb.Kind_KIND_CONFIG_PULL
	if request.Delta != nil {
		kind = wirepb.Kind_KIND_CONFIG_PUSH
	}
	reply := new(wirepb.ConfigReply)
	if err := t.pool.Call(ctx, address, kind, "", request, reply); err != nil {
		return nil, err
	}
	metrics.Counter("config.bytes", "direction", "sent").Inc(int64(proto.Size(request)))
	metrics.Counter("config.bytes", "direction", "received").Inc(int64(proto.Size(reply)))
	return reply, nil
}

// Register registers the handlers of exchanges with the server.
func (m *Manager) Register(server *wire.Server) {
	handler := func(ctx context.Context, request wire.Request, stream *wire.Stream) {
		message := new(wirepb.ConfigExchange)
		if err := stream.Recv(message); err != nil {
			return
		}
		reply := m.HandleExchange(request.Peer.Address, message)
		if err := stream.Send(reply); err != nil {
			m.log.Debug().Err(err).Msg("config: could not send the reply to an exchange")
		}
	}
	server.Handle(wirepb.Kind_KIND_CONFIG_PULL, handler)
	server.Handle(wirepb.Kind_KIND_CONFIG_PUSH, handler)
}

// encodeDelta returns the wire form of a delta.
func encodeDelta(d delta) *wirepb.ConfigDelta {
	message := &wirepb.ConfigDelta{From: d.from, To: d.to, ToHash: d.toHash[:]}
	for _, change := range d.changes {
		message.Changes = append(message.Changes, &wirepb.ConfigChange{
			Key: change.Key, Value: change.Value, Deleted: change.Deleted,
		})
	}
	return message
}

// decodeChanges returns the changes of a delta in wire form.
func decodeChanges(message *wirepb.ConfigDelta) []snapshot.Change {
	changes := make([]snapshot.Change, len(message.Changes))
	for i, change := range message.Changes {
		changes[i] = snapshot.Change{Key: change.Key, Value: change.Value, Deleted: change.Deleted}
	}
	return changes
}

// encodeBuckets returns the buckets of s whose hashes differ from the given ones, which
// must be BucketCount hashes.
func encodeBuckets(s *snapshot.Snapshot, hashes [][]byte) []*wirepb.ConfigBucket {
	var buckets []*wirepb.ConfigBucket
	for i := range snapshot.BucketCount {
		hash := s.BucketHash(i)
		if string(hashes[i]) == string(hash[:]) {
			continue
		}
		bucket := &wirepb.ConfigBucket{Index: uint32(i)}
		for _, record := range s.Bucket(i) {
			bucket.Records = append(bucket.Records, &wirepb.ConfigChange{Key: record.Key, Value: record.Value})
		}
		buckets = append(buckets, bucket)
	}
	return buckets
}

// decodeBuckets returns the records of the buckets by bucket index. It is the inverse of encodeBuckets.
func decodeBuckets(messages []*wirepb.ConfigBucket) map[int][]snapshot.Record {
	buckets := make(map[int][]snapshot.Record, len(messages))
	for _, message := range messages {
		records := make([]snapshot.Record, len(message.Records))
		for i, record := range message.Records {
			records[i] = snapshot.Record{Key: record.Key, Value: record.Value}
		}
		buckets[int(message.Index)] = records
	}
	return buckets
}

// bucketHashes returns the hashes of all buckets of s in order.
func bucketHashes(s *snapshot.Snapshot) [][]byte {
	hashes := make([][]byte, snapshot.BucketCount)
	for i := range hashes {
		hash := s.BucketHash(i)
		hashes[i] = hash[:]
	}
	return hashes
}
