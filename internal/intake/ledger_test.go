package intake

import (
	"testing"
	"time"
)

// replay is a ledger with a clock.
type replay struct {
	t *testing.T
	*ledger
	now time.Time
}

func newReplay(t *testing.T, limits Limits) *replay {
	return &replay{t: t, ledger: newLedger(limits), now: time.Unix(1_000, 0)}
}

func (r *replay) open() *entry {
	e := new(entry)
	r.add(e, r.now)
	return e
}

// hold lets a connection send a part of a head.
func (r *replay) hold(e *entry, bytes int64) []*entry {
	if e.phase == idle {
		e.enter(inHead, r.now)
	}
	e.progressAt = r.now
	r.holdHead(e, bytes)
	return r.trimHeads(nil, r.now)
}

func (r *replay) remove(closed []*entry) {
	for _, e := range closed {
		r.ledger.remove(e)
	}
}

// Load pattern: a crowd sends heads nearly to the end and comes back whenever it is closed; a caller
// beside it takes a moment for a small head. The sum stays within its bound, and the caller is
// never closed.
func TestCrowdOfHeadsClosesNoSmallHead(t *testing.T) {
	const headBytes = 60_000
	r := newReplay(t, Limits{Connections: 1000, HeadBytes: 20 * headBytes, BodyBytes: 1})
	small := r.open()
	r.hold(small, 100)
	for range 2000 {
		r.now = r.now.Add(time.Millisecond)
		e := r.open()
		for range 4 {
			r.remove(r.hold(e, headBytes/4))
			if r.headBytes > r.limits.HeadBytes {
				t.Fatalf("%d bytes of heads, want at most %d", r.headBytes, r.limits.HeadBytes)
			}
			if e.closing {
				break
			}
		}
	}
	if small.closing {
		t.Error("the small head was closed")
	}
}

// Load pattern: idle connections fill the bound, while others are kept between requests and one
// serves a request. Those that have never sent a request are closed first, and the one that serves
// a request is never closed.
func TestConnectionsThatNeverSentARequestAreClosedFirst(t *testing.T) {
	const connections = 320
	r := newReplay(t, Limits{Connections: connections, HeadBytes: 1, BodyBytes: 1})
	serving, kept := r.open(), r.open()
	serving.requests, kept.requests = 1, 1
	serving.enter(served, r.now)
	var silent []*entry
	for !r.isFull() {
		silent = append(silent, r.open())
	}
	r.now = r.now.Add(2 * grace)
	for range len(silent) / r.batch() {
		closed := r.makeRoom(r.now)
		if len(closed) != r.batch() {
			t.Fatalf("%d connections were closed, want %d", len(closed), r.batch())
		}
		if again := r.makeRoom(r.now); len(again) > 0 {
			t.Fatalf("%d more were closed while these are closing", len(again))
		}
		r.remove(closed)
		if kept.closing || serving.closing {
			t.Fatal("a connection that had sent a request was closed before silent ones")
		}
		for !r.isFull() {
			r.open()
		}
	}
	for _, e := range r.unfinished(func(e *entry) bool { return e != kept }) {
		r.ledger.remove(e)
	}
	r.limits.Connections = 1
	if closed := r.makeRoom(r.now); len(closed) != 1 || closed[0] != kept {
		t.Errorf("%d connections were closed, want the kept one only", len(closed))
	}
}

// Load pattern: kept connections fill the bound, and callers open new ones at a time. A connection
// that has just been opened is closed last.
func TestNewConnectionIsNotClosedForTheNextOne(t *testing.T) {
	r := newReplay(t, Limits{Connections: 100, HeadBytes: 1, BodyBytes: 1})
	for !r.isFull() {
		e := r.open()
		e.requests = 1
	}
	r.now = r.now.Add(2 * grace)
	r.remove(r.makeRoom(r.now)[:1])
	newcomer := r.open()
	r.now = r.now.Add(time.Millisecond)
	r.remove(r.makeRoom(r.now))
	if newcomer.closing {
		t.Error("the new connection was closed for another")
	}
}

// Load pattern: bodies stop short of their end and hold what they have sent. The oldest and largest
// are closed, a body that is being read beside them is not, and one alone may exceed the bound.
func TestStalledBodiesAreClosedBeforeOnesThatProgress(t *testing.T) {
	const bodyBytes = 4 << 20
	r := newReplay(t, Limits{Connections: 1000, HeadBytes: 1, BodyBytes: 4 * bodyBytes})
	begin := func(bytes int64) *entry {
		e := r.open()
		e.enter(inBody, r.now)
		r.holdBody(e, bytes)
		return e
	}
	large := begin(5 * bodyBytes)
	if closed := r.trimBodies(r.now.Add(time.Second)); len(closed) > 0 {
		t.Error("a single body was closed")
	}
	r.ledger.remove(large)
	for range 4 {
		begin(bodyBytes)
	}
	r.now = r.now.Add(time.Second)
	progressing := begin(0)
	for range 16 {
		r.now = r.now.Add(10 * time.Millisecond)
		r.holdBody(progressing, bodyBytes/16)
		progressing.progressAt = r.now
		r.remove(r.trimBodies(r.now))
	}
	if progressing.closing {
		t.Error("the body that progresses was closed")
	}
	if r.bodyBytes > r.limits.BodyBytes {
		t.Errorf("%d bytes of bodies, want at most %d", r.bodyBytes, r.limits.BodyBytes)
	}
}

// What connections hold must not count after they are gone, whatever closed them.
func TestNothingCountsAfterConnectionsAreGone(t *testing.T) {
	r := newReplay(t, Limits{Connections: 4, HeadBytes: 100, BodyBytes: 100})
	var entries []*entry
	for range 4 {
		e := r.open()
		e.enter(inBody, r.now)
		r.holdHead(e, 60)
		r.holdBody(e, 60)
		entries = append(entries, e)
	}
	r.now = r.now.Add(time.Second)
	r.trimHeads(nil, r.now)
	r.trimBodies(r.now)
	r.makeRoom(r.now)
	r.holdBody(entries[0], -60)
	r.remove(entries)
	r.remove(entries)
	if r.ledger.open != 0 || r.closing != 0 || r.headBytes != 0 || r.bodyBytes != 0 || r.closingBytes != 0 {
		t.Errorf("%d open, %d closing, %d, %d and %d bytes, want none", r.ledger.open, r.closing, r.headBytes, r.bodyBytes, r.closingBytes)
	}
}
