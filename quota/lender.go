package quota

import (
	"sync"
	"time"
)

// lender holds this process's shares and lends from them.
type lender struct {
	address   string
	config    Config
	directory Directory
	now       func() time.Time
	term      time.Duration
	clock     *instantClock

	mu       sync.Mutex
	layout   slotLayout
	shares   map[CustomerID]*share
	revision uint64
	// slots is the number of held slots at the last sync.
	slots int
	// filled and adopted hold the tenures of slots whose shares have been filled
	// at first use, or whose former life's deposit has been taken over.
	filled        map[int]uint64
	backupApplied map[int]uint64
	// restored holds the tenures for which a former life's reserve has been taken over.
	reserveApplied map[int]uint64
	// restoredUntil is when a former life's loans are over for the first of these.
	restoredUntil time.Time
	reservePeer   reservePeer
	// touched holds the customers whose reserve may have to change.
	reserveCandidates map[CustomerID]struct{}
	closed            bool
}

func newLender(o *Options, clock *instantClock) *lender {
	return &lender{
		address:           o.Address,
		config:            o.Config,
		directory:         o.Directory,
		now:               o.Now,
		term:              o.LoanTerm,
		clock:             clock,
		layout:            slotLayout{growthDelay: o.LayoutDelay},
		shares:            make(map[CustomerID]*share),
		filled:            make(map[int]uint64),
		backupApplied:     make(map[int]uint64),
		reserveApplied:    make(map[int]uint64),
		reserveCandidates: make(map[CustomerID]struct{}),
	}
}

// sync takes in changes of the configuration and of the held slots. It is called
// periodically, so that shares grow also while nobody asks for them.
func (l *lender) sync() {
	customers := l.config.Customers()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	held := l.directory.Held()
	l.layout.set(now, l.config.Slots())
	l.fillUnusedSlots(now, held, customers)
	l.removeUnlimited()
	revision := l.config.Revision()
	if revision == l.revision && len(held) == l.slots && len(l.layout.previous) == 0 {
		return
	}
	l.revision, l.slots = revision, len(held)
	for _, customer := range customers {
		if l.shares[customer] != nil || l.heldFraction(now, customer, held) > 0 {
			l.share(now, customer, held)
		}
	}
}

// partOf returns the part of a customer's limit that belongs to the held slots.
func (l *lender) heldFraction(now time.Time, customer CustomerID, held []HeldSlot) float64 {
	var fraction float64
	for _, slot := range held {
		fraction += l.layout.fraction(now, customer.Group(), slot.Index)
	}
	return fraction
}

// fill starts the shares of slots that nobody held before at their burst.
func (l *lender) fillUnusedSlots(now time.Time, held []HeldSlot, customers []CustomerID) {
	if len(customers) == 0 {
		return
	}
	for _, slot := range held {
		if l.filled[slot.Index] == slot.Epoch {
			continue
		}
		l.filled[slot.Index] = slot.Epoch
		if !slot.Unused {
			continue
		}
		for _, customer := range customers {
			l.fillShare(now, customer, slot, held)
		}
	}
}

func (l *lender) fillShare(now time.Time, customer CustomerID, slot HeldSlot, held []HeldSlot) {
	limit, ok := l.config.Limit(customer)
	fraction := l.layout.fraction(now, customer.Group(), slot.Index)
	if !ok || fraction == 0 {
		return
	}
	s := l.share(now, customer, held)
	s.level = max(0, min(s.level+fraction*limit.Burst, s.maxLevel(now)))
}

// forget drops the shares of customers that are gone.
func (l *lender) removeUnlimited() {
	for customer, s := range l.shares {
		if _, ok := l.config.Limit(customer); !ok && s.reserved == 0 {
			delete(l.shares, customer)
			delete(l.reserveCandidates, customer)
		}
	}
}

// share returns a customer's share, advanced to now; l.mu is held.
func (l *lender) share(now time.Time, customer CustomerID, held []HeldSlot) *share {
	s := l.shares[customer]
	if s == nil {
		s = newShare(now)
		l.shares[customer] = s
	}
	l.layout.set(now, l.config.Slots())
	limit, _ := l.config.Limit(customer)
	var fraction, unknownFraction float64
	for _, slot := range held {
		slotFraction := l.layout.fraction(now, customer.Group(), slot.Index)
		fraction += slotFraction
		if l.hasUnknownLoans(slot, now) {
			unknownFraction += slotFraction
		}
	}
	if !now.Before(l.restoredUntil) {
		s.restored = 0
	}
	s.advance(now, Limit{Rate: fraction * limit.Rate, Burst: fraction * limit.Burst}, unknownFraction*MaxLent*limit.Burst)
	return s
}

// handle answers the asks of a pool.
func (l *lender) handle(request *Request) *Reply {
	l.mu.Lock()
	defer l.mu.Unlock()
	reply := &Reply{Clock: l.clock.read()}
	if l.closed || !l.config.Fresh() {
		return reply
	}
	now := l.now()
	held := l.directory.Held()
	for i := range request.TokenRequests {
		tokenRequest := &request.TokenRequests[i]
		s := l.share(now, tokenRequest.Customer, held)
		since := l.clock.time(tokenRequest.RefundSince)
		l.reserveCandidates[tokenRequest.Customer] = struct{}{}
		reply.TokenReplies = append(reply.TokenReplies, s.lend(now, request.Borrower, tokenRequest, since, l.term, l.reservedTokens(s, now)))
	}
	return reply
}

// instantClock converts between times and instants of this life.
type instantClock struct {
	incarnation uint32
	start       time.Time
	now         func() time.Time
}

func (c *instantClock) read() Instant { return c.instant(c.now()) }

func (c *instantClock) instant(at time.Time) Instant {
	return Instant{Incarnation: c.incarnation, Micros: at.Sub(c.start).Microseconds()}
}

// time returns the time of an instant, or zero if it is not from this life.
func (c *instantClock) time(i Instant) time.Time {
	if i.Incarnation == 0 || i.Incarnation != c.incarnation {
		return time.Time{}
	}
	return c.start.Add(time.Duration(i.Micros) * time.Microsecond)
}

// anchor relates a peer's clock to this process's.
type anchor struct {
	at      time.Time
	reading Instant
}

// instant returns a reading of the peer's clock that is not later than at. The
// reply that gave the anchor was received after the peer read its clock.
func (a anchor) instant(at time.Time) Instant {
	if a.reading.Incarnation == 0 {
		return Instant{}
	}
	elapsed := at.Sub(a.at)
	drift := time.Duration(float64(elapsed.Abs()) * driftAllowance)
	return Instant{Incarnation: a.reading.Incarnation, Micros: a.reading.Micros + (elapsed - drift).Microseconds()}
}
