package intake

import (
	"cmp"
	"slices"
	"time"
)

// phase is what a connection is expected to do next.
type phase uint8

const (
	// idle: no byte of a request has arrived since the last response.
	idle phase = iota
	// inHead: a part of a head has arrived.
	inHead
	// inBody: the handler reads the body and has not passed the request on.
	inBody
	// served: the request was passed to the handler. The connection is not closed for others.
	served
)

// String implements fmt.Stringer.
func (p phase) String() string {
	return [...]string{"idle", "head", "body", "served"}[p]
}

const (
	// grace is how long a connection may take to send its first request before it is closed for
	// others rather than connections that are kept between requests.
	grace = time.Second
	// roomFraction is the part of a bound that is freed at once, so that a crowd does not cause a
	// search for each of its connections.
	roomFraction = 1.0 / 32
	// unreleasedFraction is the part of the bound on heads up to which connections that are being
	// closed may hold memory while others take more.
	unreleasedFraction = 0.25
	// smallHeadBytes is the memory of a head that is accepted beyond the bound.
	smallHeadBytes = 8 << 10
)

// entry is what a ledger knows of a connection.
type entry struct {
	conn  *Conn
	phase phase
	// since is when the phase began, and progressAt when bytes were last received.
	since, progressAt time.Time
	// received is the number of bytes of the current request, and requests the number of heads
	// that were whole.
	received int64
	requests int
	// headBytes and bodyBytes are the memory of the current request.
	headBytes, bodyBytes int64
	// closing is true once the connection was closed for others. What it still holds no longer counts
	// against the bounds.
	closing bool
	// gone is true after the connection is closed.
	gone bool
}

// enter begins a phase.
func (e *entry) enter(p phase, now time.Time) {
	e.phase, e.since, e.progressAt = p, now, now
}

// weight is the memory of an unfinished request in bytes times its age, in seconds, where silence
// counts twice.
func (e *entry) weight(now time.Time) float64 {
	return float64(e.headBytes+e.bodyBytes) * (now.Sub(e.since) + now.Sub(e.progressAt)).Seconds()
}

// ledger decides which connections are closed. It does no input or output and is not safe for
// concurrent use.
//
// Load pattern: many clients open connections, send heads or bodies nearly to the end and stay, and
// come back when they are closed; beside them a few clients send whole requests.
type ledger struct {
	limits  Limits
	entries map[*entry]struct{}
	// open is the number of connections that are not gone, and closing how many of them are being
	// closed for others.
	open, closing        int
	headBytes, bodyBytes int64
	// closingBytes is the memory of connections that are being closed for others.
	closingBytes int64
}

func newLedger(limits Limits) *ledger {
	return &ledger{limits: limits, entries: make(map[*entry]struct{})}
}

func (l *ledger) add(e *entry, now time.Time) {
	e.enter(idle, now)
	l.entries[e] = struct{}{}
	l.open++
}

// remove removes a connection that is closed.
func (l *ledger) remove(e *entry) {
	if e.gone {
		return
	}
	e.gone = true
	l.holdHead(e, -e.headBytes)
	l.holdBody(e, -e.bodyBytes)
	if e.closing {
		l.closing--
	}
	delete(l.entries, e)
	l.open--
}

// holdHead changes the memory that a connection's head takes.
func (l *ledger) holdHead(e *entry, bytes int64) {
	e.headBytes += bytes
	if e.closing {
		l.closingBytes += bytes
		return
	}
	l.headBytes += bytes
}

// holdBody changes the memory that a connection's unfinished body takes.
func (l *ledger) holdBody(e *entry, bytes int64) {
	e.bodyBytes += bytes
	if e.closing {
		l.closingBytes += bytes
		return
	}
	l.bodyBytes += bytes
}

// isReleased reports whether connections that are being closed for others have released nearly all
// of their memory.
func (l *ledger) isReleased() bool {
	return float64(l.closingBytes) <= unreleasedFraction*float64(l.limits.HeadBytes)
}

// isFull reports whether no further connection may be opened.
func (l *ledger) isFull() bool { return l.open >= l.limits.Connections }

// makeRoom closes connections so that others can be opened, and returns them. It returns none if
// enough are being closed already or all others serve requests.
func (l *ledger) makeRoom(now time.Time) []*entry {
	count := l.open - l.closing - l.limits.Connections + l.batch()
	if count <= 0 {
		return nil
	}
	candidates := l.unfinished(func(*entry) bool { return true })
	slices.SortFunc(candidates, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(rank(a, now), rank(b, now)), a.since.Compare(b.since))
	})
	return l.closeAll(candidates[:min(count, len(candidates))])
}

func (l *ledger) batch() int { return 1 + int(roomFraction*float64(l.limits.Connections)) }

// rank returns the order in which connections are closed to make room for others: those that have
// not sent a whole request in time, those that are kept, and those that have just begun.
func rank(e *entry, now time.Time) int {
	switch isRecent := now.Sub(e.since) < grace; {
	case !isRecent && (e.phase != idle || e.requests == 0):
		return 0
	case !isRecent:
		return 1
	default:
		return 2
	}
}

// trimHeads closes the connections of unfinished requests that weigh most, until the heads are
// within their bound, and returns them. Connection except stays open.
func (l *ledger) trimHeads(except *entry, now time.Time) []*entry {
	if l.headBytes <= l.limits.HeadBytes {
		return nil
	}
	candidates := l.unfinished(func(e *entry) bool { return e != except && e.headBytes > 0 })
	return l.trim(candidates, now, func() bool {
		return l.headBytes > int64(float64(l.limits.HeadBytes)*(1-roomFraction))
	})
}

// trimBodies closes the connections of unfinished bodies that weigh most, until these bodies are
// within their bound or one is left, and returns them.
func (l *ledger) trimBodies(now time.Time) []*entry {
	if l.bodyBytes <= l.limits.BodyBytes {
		return nil
	}
	candidates := l.unfinished(func(e *entry) bool { return e.bodyBytes > 0 })
	left := len(candidates)
	return l.trim(candidates, now, func() bool {
		left--
		return left > 0 && l.bodyBytes > l.limits.BodyBytes
	})
}

// trim closes the candidates that weigh most while isAbove is true, and returns them.
func (l *ledger) trim(candidates []*entry, now time.Time, isAbove func() bool) []*entry {
	slices.SortFunc(candidates, func(a, b *entry) int { return cmp.Compare(b.weight(now), a.weight(now)) })
	count := 0
	for count < len(candidates) && isAbove() {
		l.closeAll(candidates[count : count+1])
		count++
	}
	return candidates[:count]
}

// unfinished returns the connections whose requests have not been passed on and for which match
// returns true.
func (l *ledger) unfinished(match func(*entry) bool) []*entry {
	var found []*entry
	for e := range l.entries {
		if e.phase != served && !e.closing && match(e) {
			found = append(found, e)
		}
	}
	return found
}

// closeAll marks connections as being closed and returns them.
func (l *ledger) closeAll(entries []*entry) []*entry {
	for _, e := range entries {
		l.headBytes -= e.headBytes
		l.bodyBytes -= e.bodyBytes
		l.closingBytes += e.headBytes + e.bodyBytes
		e.closing = true
		l.closing++
	}
	return entries
}

// admitHead reports whether a whole head may be parsed: if the heads are above their bound, only
// small ones may.
func (l *ledger) admitHead(e *entry) bool {
	return l.headBytes <= l.limits.HeadBytes || e.headBytes <= smallHeadBytes
}
