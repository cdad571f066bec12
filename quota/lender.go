package quota

import (
	"sync"
	"time"
)

// lender holds this process's shares and lends tokens from them to pools. It is
// safe for concurrent use.
type lender struct {
	address   string
	config    Config
	directory Directory
	now       func() time.Time
	loanTerm  time.Duration
	clock     *instantClock

	mu       sync.Mutex
	layout   slotLayout
	shares   map[CustomerID]*share
	revision uint64
	// heldCount is the number of held slots at the last sync.
	heldCount int
	// initialized holds, by slot, the epoch in which the slot's shares were set
	// up. backupApplied holds the epoch in which a share backup of the previous
	// holder was applied.
	initialized   map[int]uint64
	backupApplied map[int]uint64
	// reserveApplied holds, by slot, the epoch in which the reserve of the
	// previous incarnation was applied.
	reserveApplied map[int]uint64
	// restoredUntil is the earliest end of the previous incarnation's possible
	// loans among the slots whose reserve was applied. From then on
	// share.restored is reset to zero.
	restoredUntil time.Time
	reservePeer   reservePeer
	// reserveCandidates holds the customers whose reserve may have to change.
	reserveCandidates map[CustomerID]struct{}
	closed            bool
}

func newLender(o *Options, clock *instantClock) *lender {
	return &lender{
		address:           o.Address,
		config:            o.Config,
		directory:         o.Directory,
		now:               o.Now,
		loanTerm:          o.LoanTerm,
		clock:             clock,
		layout:            slotLayout{slotGrowthDelay: o.SlotGrowthDelay},
		shares:            make(map[CustomerID]*share),
		initialized:       make(map[int]uint64),
		backupApplied:     make(map[int]uint64),
		reserveApplied:    make(map[int]uint64),
		reserveCandidates: make(map[CustomerID]struct{}),
	}
}

// sync applies changes of the configuration and of the held slots. It is called
// periodically, so that shares also gain tokens while no pool asks for them.
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
	if revision == l.revision && len(held) == l.heldCount && len(l.layout.previous) == 0 {
		return
	}
	l.revision, l.heldCount = revision, len(held)
	for _, customer := range customers {
		if l.shares[customer] != nil || l.heldFraction(now, customer, held) > 0 {
			l.share(now, customer, held)
		}
	}
}

// heldFraction returns the fraction of a customer's limit that belongs to the
// held slots. The caller holds l.mu.
func (l *lender) heldFraction(now time.Time, customer CustomerID, held []HeldSlot) float64 {
	var fraction float64
	for _, slot := range held {
		fraction += l.layout.fraction(now, customer.Group(), slot.Index)
	}
	return fraction
}

// fillUnusedSlots fills the shares of slots that no process has held before. It
// waits until the configuration has customers. The caller holds l.mu.
func (l *lender) fillUnusedSlots(now time.Time, held []HeldSlot, customers []CustomerID) {
	if len(customers) == 0 {
		return
	}
	for _, slot := range held {
		if l.initialized[slot.Index] == slot.Epoch {
			continue
		}
		l.initialized[slot.Index] = slot.Epoch
		if !slot.Unused {
			continue
		}
		for _, customer := range customers {
			l.fillShare(now, customer, slot, held)
		}
	}
}

// fillShare adds a slot's fraction of the burst to a customer's share. The
// caller holds l.mu.
func (l *lender) fillShare(now time.Time, customer CustomerID, slot HeldSlot, held []HeldSlot) {
	limit, ok := l.config.Limit(customer)
	fraction := l.layout.fraction(now, customer.Group(), slot.Index)
	if !ok || fraction == 0 {
		return
	}
	s := l.share(now, customer, held)
	s.level = max(0, min(s.level+fraction*limit.Burst, s.maxLevel(now)))
}

// removeUnlimited removes the shares of customers that no longer have a limit,
// unless tokens of them are reserved. The caller holds l.mu.
func (l *lender) removeUnlimited() {
	for customer, s := range l.shares {
		if _, ok := l.config.Limit(customer); !ok && s.reserved == 0 {
			delete(l.shares, customer)
			delete(l.reserveCandidates, customer)
		}
	}
}

// share returns a customer's share, advanced to now, and creates it if needed.
// The caller holds l.mu.
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
	s.advance(now, Limit{Rate: fraction * limit.Rate, Burst: fraction * limit.Burst}, unknownFraction*MaxLentFraction*limit.Burst)
	return s
}

// handle processes the token requests of a pool in order. The reply has no
// token replies if the lender is closed or the configuration is stale.
func (l *lender) handle(request *Request) *Reply {
	l.mu.Lock()
	defer l.mu.Unlock()
	reply := &Reply{Clock: l.clock.read()}
	if l.closed || !l.config.IsFresh() {
		return reply
	}
	now := l.now()
	held := l.directory.Held()
	for i := range request.TokenRequests {
		tokenRequest := &request.TokenRequests[i]
		s := l.share(now, tokenRequest.Customer, held)
		since := l.clock.time(tokenRequest.RefundSince)
		l.reserveCandidates[tokenRequest.Customer] = struct{}{}
		reply.TokenReplies = append(reply.TokenReplies, s.lend(now, request.Borrower, tokenRequest, since, l.loanTerm, l.reservedTokens(s, now)))
	}
	return reply
}

// instantClock converts between times and instants of this incarnation.
type instantClock struct {
	incarnation uint32
	start       time.Time
	now         func() time.Time
}

func (c *instantClock) read() Instant { return c.instant(c.now()) }

// instant converts a time of this process's clock to an Instant.
func (c *instantClock) instant(at time.Time) Instant {
	return Instant{Incarnation: c.incarnation, Micros: at.Sub(c.start).Microseconds()}
}

// time returns the time of an instant, or the zero time if the instant is from
// another incarnation.
func (c *instantClock) time(instant Instant) time.Time {
	if instant.Incarnation == 0 || instant.Incarnation != c.incarnation {
		return time.Time{}
	}
	return c.start.Add(time.Duration(instant.Micros) * time.Microsecond)
}

// clockAnchor relates a peer's clock to this process's clock: reading was the
// peer's clock at or before the time at.
type clockAnchor struct {
	at      time.Time
	reading Instant
}

// instant returns a reading of the peer's clock that is not later than the time
// at, or the zero Instant if no reading is known. It relies on the anchor's
// reply having been received after the peer read its clock, and subtracts an
// allowance for clock drift.
func (a clockAnchor) instant(at time.Time) Instant {
	if a.reading.Incarnation == 0 {
		return Instant{}
	}
	elapsed := at.Sub(a.at)
	drift := time.Duration(float64(elapsed.Abs()) * driftAllowance)
	return Instant{Incarnation: a.reading.Incarnation, Micros: a.reading.Micros + (elapsed - drift).Microseconds()}
}
