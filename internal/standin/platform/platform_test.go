package platform

import (
	"context"
	"errors"
	"net"
	"net/http/httptest"
	"testing"

	"github.com/greengagegate/greengagegate/store"
	"github.com/greengagegate/greengagegate/store/httpstore"
	"github.com/greengagegate/greengagegate/store/memstore"
)

func startPlatform(t *testing.T) (*Manager, *httpstore.Client) {
	t.Helper()
	m := New(Options{Hosts: []store.Host{{Address: "127.0.0.1:1", Zone: "a"}}})
	server := httptest.NewServer(m.Handler())
	t.Cleanup(server.Close)
	client := httpstore.New(server.URL)
	t.Cleanup(client.Close)
	return m, client
}

// TestConditionalChanges guards against changes that ignore the expected version, and
// against keys whose special characters are lost in the URL path.
func TestConditionalChanges(t *testing.T) {
	_, client := startPlatform(t)
	ctx := context.Background()
	const key = "config/a b/ü?x"
	version, err := client.Put(ctx, key, []byte("one"), store.VersionAbsent)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := client.Put(ctx, key, []byte("two"), version+1); !errors.Is(err, store.ErrConflict) {
		t.Fatalf("put with another expected version: got %v, want ErrConflict", err)
	}
	object, err := client.Get(ctx, key)
	if err != nil || string(object.Value) != "one" || object.Key != key {
		t.Fatalf("get: object %+v, error %v", object, err)
	}
	if objects, listVersion, err := client.List(ctx, "config/"); err != nil || len(objects) != 1 || listVersion != version {
		t.Fatalf("list: objects %v at version %d, error %v", objects, listVersion, err)
	}
	if err := client.Delete(ctx, key, version); err != nil {
		t.Fatal(err)
	}
	if _, err := client.Get(ctx, key); !errors.Is(err, store.ErrNotFound) {
		t.Fatalf("get after delete: got %v, want ErrNotFound", err)
	}
	if hosts, err := client.Hosts(ctx); err != nil || len(hosts) != 1 {
		t.Fatalf("hosts %v, error %v, want one host", hosts, err)
	}
}

// TestLostResponseIsUnknownAndNotRepeated guards against a client that retries a put
// whose response was lost, or that reports it as refused although it took effect.
func TestLostResponseIsUnknownAndNotRepeated(t *testing.T) {
	m, client := startPlatform(t)
	ctx := context.Background()
	m.SetFaults(memstore.Faults{LoseAnswers: 1})
	if _, err := client.Put(ctx, "k", []byte("v"), store.VersionAbsent); !errors.Is(err, store.ErrUnknownOutcome) {
		t.Fatalf("put with a lost response: got %v, want ErrUnknownOutcome", err)
	}
	if object, err := client.Get(ctx, "k"); err != nil || string(object.Value) != "v" {
		t.Fatalf("get after a put with a lost response: object %+v, error %v", object, err)
	}
	if writes := m.Counts().Writes; writes != 1 {
		t.Fatalf("one put was received as %d writes", writes)
	}
}

// TestOutageRefusesCallsAndClosesWatches guards against a watch that stays open during
// an outage, and against a put that takes effect although it was refused.
func TestOutageRefusesCallsAndClosesWatches(t *testing.T) {
	m, client := startPlatform(t)
	ctx := context.Background()
	changes, err := client.Watch(ctx, "k", 0)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := client.Put(ctx, "k1", []byte("v"), store.VersionAbsent); err != nil {
		t.Fatal(err)
	}
	if change := <-changes; change.Key != "k1" || string(change.Value) != "v" {
		t.Fatalf("watch delivered %+v, want the put of k1", change)
	}
	m.SetFaults(memstore.Faults{Down: true})
	if change, open := <-changes; open {
		t.Fatalf("watch delivered %+v during the outage, want a closed channel", change)
	}
	if _, err := client.Put(ctx, "k2", nil, store.VersionAbsent); !errors.Is(err, store.ErrUnavailable) {
		t.Fatalf("put during the outage: got %v, want ErrUnavailable", err)
	}
	m.SetFaults(memstore.Faults{})
	if _, err := client.Get(ctx, "k2"); !errors.Is(err, store.ErrNotFound) {
		t.Fatalf("get after a refused put: got %v, want ErrNotFound", err)
	}
}

// TestWriteWithoutConnectionIsRefused guards against a client that reports an unknown
// outcome for a put that it could not send because nothing listened at the address.
func TestWriteWithoutConnectionIsRefused(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	client := httpstore.New("http://" + address)
	if _, err := client.Put(context.Background(), "k", nil, store.VersionAbsent); !errors.Is(err, store.ErrUnavailable) {
		t.Fatalf("put without a connection: got %v, want ErrUnavailable", err)
	}
}
