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

func TestConditionalChanges(t *testing.T) {
	_, client := startPlatform(t)
	ctx := context.Background()
	const key = "config/a b/ü?x"
	version, err := client.Put(ctx, key, []byte("one"), store.VersionAbsent)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := client.Put(ctx, key, []byte("two"), version+1); !errors.Is(err, store.ErrConflict) {
		t.Fatalf("put at another version: %v", err)
	}
	object, err := client.Get(ctx, key)
	if err != nil || string(object.Value) != "one" || object.Key != key {
		t.Fatalf("got %+v, %v", object, err)
	}
	if objects, at, err := client.List(ctx, "config/"); err != nil || len(objects) != 1 || at != version {
		t.Fatalf("listed %v at %d, %v", objects, at, err)
	}
	if err := client.Delete(ctx, key, version); err != nil {
		t.Fatal(err)
	}
	if _, err := client.Get(ctx, key); !errors.Is(err, store.ErrNotFound) {
		t.Fatalf("get after delete: %v", err)
	}
	if hosts, err := client.Hosts(ctx); err != nil || len(hosts) != 1 {
		t.Fatalf("hosts %v, %v", hosts, err)
	}
}

func TestLostAnswerIsUnknownAndNotRepeated(t *testing.T) {
	m, client := startPlatform(t)
	ctx := context.Background()
	m.SetFaults(memstore.Faults{LoseAnswers: 1})
	if _, err := client.Put(ctx, "k", []byte("v"), store.VersionAbsent); !errors.Is(err, store.ErrUnknownOutcome) {
		t.Fatalf("put with a lost answer: %v", err)
	}
	if object, err := client.Get(ctx, "k"); err != nil || string(object.Value) != "v" {
		t.Fatalf("got %+v, %v", object, err)
	}
	if writes := m.Counts().Writes; writes != 1 {
		t.Fatalf("%d writes for one put", writes)
	}
}

func TestOutageRefusesAndCutsWatches(t *testing.T) {
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
		t.Fatalf("change %+v", change)
	}
	m.SetFaults(memstore.Faults{Down: true})
	if change, open := <-changes; open {
		t.Fatalf("change %+v during the outage", change)
	}
	if _, err := client.Put(ctx, "k2", nil, store.VersionAbsent); !errors.Is(err, store.ErrUnavailable) {
		t.Fatalf("put: %v", err)
	}
	m.SetFaults(memstore.Faults{})
	if _, err := client.Get(ctx, "k2"); !errors.Is(err, store.ErrNotFound) {
		t.Fatalf("refused put: %v", err)
	}
}

func TestWriteWithoutConnectionIsRefused(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	client := httpstore.New("http://" + address)
	if _, err := client.Put(context.Background(), "k", nil, store.VersionAbsent); !errors.Is(err, store.ErrUnavailable) {
		t.Fatalf("put: %v", err)
	}
}
