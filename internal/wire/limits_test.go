package wire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
)

// A peer that announces a large Hello must not be waited for, since each byte is read on its own.
func TestLargeHelloIsRefused(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _ = near.Close() }()
	go func() {
		_, _ = far.Write(binary.AppendUvarint(nil, maxHelloBytes+1))
		_, _ = far.Write(make([]byte, maxHelloBytes+1))
	}()
	go func() { _, _ = bytes.NewBuffer(nil).ReadFrom(far) }()
	if _, err := exchangeHello(near, &wirepb.Hello{}); !errors.Is(err, ErrFrameTooLarge) {
		t.Errorf("error %v, want %v", err, ErrFrameTooLarge)
	}
}

// A crowd of connections must not take the place of sessions that are used.
func TestIdlestConnectionGivesWay(t *testing.T) {
	const maxEntries = 3
	table := newSessionTable(maxEntries)
	start := time.Now()
	silent, _ := table.add(nil, start.Add(time.Second))
	used, _ := table.add(nil, start)
	table.addStreams(used, 1)
	kept, _ := table.add(nil, start)
	table.addStreams(kept, 1)
	if added, removed := table.add(nil, start); added == nil || removed != silent {
		t.Errorf("%+v was removed for %+v, want the silent connection", removed, added)
	}
	if len(table.entries) != maxEntries {
		t.Errorf("%d connections, want %d", len(table.entries), maxEntries)
	}
	for entry := range table.entries {
		table.addStreams(entry, 1)
	}
	if added, removed := table.add(nil, start); added != nil || removed != nil {
		t.Errorf("%+v was removed for %+v while all have streams", removed, added)
	}
}
