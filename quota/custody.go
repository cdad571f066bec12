package quota

import (
	"context"
	"slices"
	"sync"
	"time"
)

const (
	// custodyTerm is how long a deposit is kept.
	custodyTerm = 2 * time.Minute
	// custodyCallTimeout bounds a deposit or a claim.
	custodyCallTimeout = time.Second
)

// custody keeps the deposits of stopped holders until their next life claims them.
type custody struct {
	now   func() time.Time
	clock *instantClock

	mu      sync.Mutex
	backups map[string]keptBackup
	// reserves holds the notes of live holders.
	reserves map[string]*keptReserve
}

type keptBackup struct {
	backup *ShareBackup
	at     time.Time
}

func newCustody(o *Options, clock *instantClock) *custody {
	return &custody{
		now:      o.Now,
		clock:    clock,
		backups:  make(map[string]keptBackup),
		reserves: make(map[string]*keptReserve),
	}
}

// keep stores a deposit.
func (c *custody) keep(request *Request) *Reply {
	c.mu.Lock()
	defer c.mu.Unlock()
	if request.ShareBackup == nil || c.backups == nil {
		// A reply without answers says that nothing was kept.
		return new(Reply)
	}
	now := c.now()
	c.forgetReserves(now)
	for holder, kept := range c.backups {
		if now.Sub(kept.at) > custodyTerm {
			delete(c.backups, holder)
		}
	}
	c.backups[request.ShareBackup.Holder] = keptBackup{request.ShareBackup, now.Add(-request.ShareBackup.Age)}
	return &Reply{TokenReplies: []TokenReply{{}}}
}

// claim hands a deposit out, once.
func (c *custody) claim(request *Request) *Reply {
	if request.ShareBackup == nil {
		return new(Reply)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	kept, ok := c.backups[request.ShareBackup.Holder]
	if !ok {
		return &Reply{ShareBackup: c.handOut(request.ShareBackup)}
	}
	delete(c.backups, request.ShareBackup.Holder)
	return &Reply{ShareBackup: kept.aged(c.now())}
}

// aged returns the deposit as it is sent at a time.
func (k keptBackup) aged(now time.Time) *ShareBackup {
	backup := *k.backup
	backup.Age = now.Sub(k.at)
	return &backup
}

// close hands all deposits out, to be kept by another.
func (c *custody) close() []*ShareBackup {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []*ShareBackup
	for _, kept := range c.backups {
		all = append(all, kept.aged(c.now()))
	}
	c.backups = nil
	c.reserves = nil
	return all
}

// backUp leaves the shares, and what was deposited here, with another router.
// Without one, their tokens are lost.
func (m *Manager) backUp(ctx context.Context) {
	backups := m.custody.close()
	if own := m.lender.close(); own != nil {
		own.Holder = m.options.Address
		backups = append(backups, own)
	}
	for _, backup := range backups {
		m.backUpOne(ctx, backup)
	}
}

// backUpOne leaves a deposit with the first router that takes it.
func (m *Manager) backUpOne(ctx context.Context, backup *ShareBackup) {
	for _, router := range m.options.Directory.Routers() {
		own := router.Address == m.options.Address || router.Address == backup.Holder
		if own || router.Region != m.options.Region {
			continue
		}
		reply, err := m.callCustody(ctx, router.Address, &Request{Tier: TierBackup, ShareBackup: backup})
		if err == nil && len(reply.TokenReplies) > 0 {
			return
		}
	}
	m.options.Log.Warn().Msg("quota: no router keeps the shares, their tokens are lost")
}

func (m *Manager) callCustody(ctx context.Context, address string, request *Request) (*Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, custodyCallTimeout)
	defer cancel()
	return m.options.Transport.Call(ctx, address, request)
}

// recover claims the deposit of this address's former life while it can still matter.
func (m *Manager) recover(ctx context.Context) {
	if m.options.Config.Revision() == 0 || !m.lender.wantsBackup() {
		return
	}
	claim := &Request{Tier: TierRestore, ShareBackup: m.lender.claim()}
	var mu sync.Mutex
	var found []*ShareBackup
	var calls sync.WaitGroup
	for _, router := range m.options.Directory.Routers() {
		if router.Address == m.options.Address || router.Region != m.options.Region {
			continue
		}
		calls.Go(func() {
			reply, err := m.callCustody(ctx, router.Address, claim)
			if err == nil && reply.ShareBackup != nil {
				mu.Lock()
				defer mu.Unlock()
				found = append(found, reply.ShareBackup)
			}
		})
	}
	calls.Wait()
	m.lender.recover(found)
}

// claim names the tenures for which deposits are claimed.
func (l *lender) claim() *ShareBackup {
	claim := &ShareBackup{Holder: l.address}
	claim.Slots = tenuresOf(l.directory.Held())
	return claim
}

// recover takes over deposits. What a stopped holder left includes what it had reserved.
func (l *lender) recover(found []*ShareBackup) {
	for _, backup := range found {
		if backup.Until.Incarnation == 0 {
			l.adopt(backup)
		}
	}
	for _, backup := range found {
		if backup.Until.Incarnation != 0 {
			l.restore(backup)
		}
	}
}

// close ends lending and returns the state of the shares, or nil without slots.
func (l *lender) close() *ShareBackup {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := l.directory.Held()
	l.closed = true
	if len(held) == 0 {
		return nil
	}
	now := l.now()
	backup := new(ShareBackup)
	for _, slot := range held {
		backup.Slots = append(backup.Slots, slot.SlotEpoch)
	}
	for customer := range l.shares {
		s := l.share(now, customer, held)
		state := ShareState{Customer: customer, Level: s.level, Loans: s.loans.loans(now)}
		backup.Shares = append(backup.Shares, state)
	}
	return backup
}

// loans lists what the borrowers may have unspent.
func (l *ledger) loans(now time.Time) []Loan {
	l.total(now)
	var loans []Loan
	for borrower, h := range l.holders {
		if h.outstanding+h.brief > 0 {
			loans = append(loans, Loan{Borrower: borrower, Seq: h.lastSeq, Tokens: h.outstanding + h.brief})
		}
	}
	return loans
}

// wantsBackup reports whether a former life's loans are still unknown.
func (l *lender) wantsBackup() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	for _, slot := range l.directory.Held() {
		if l.unknown(slot, now) {
			return true
		}
	}
	return false
}

// unknown reports whether a former holder of a slot may have loans out that
// this process does not know.
func (l *lender) unknown(slot HeldSlot, now time.Time) bool {
	if slot.Unused || !now.Before(slot.Since.Add(l.term)) {
		return false
	}
	return l.adopted[slot.Index] != slot.Epoch
}

// adopt takes over a deposit of the tenures that came right before the present
// ones. The tokens gained meanwhile are added, less an allowance for drift.
func (l *lender) adopt(backup *ShareBackup) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	held := l.directory.Held()
	if l.closed || !l.follows(backup, held, now) || l.hasRestored(held) {
		return
	}
	for _, slot := range held {
		l.adopted[slot.Index] = slot.Epoch
	}
	for i := range backup.Shares {
		l.adoptShare(now, &backup.Shares[i], held, backup.Age)
	}
}

func (l *lender) adoptShare(now time.Time, state *ShareState, held []HeldSlot, age time.Duration) {
	if _, ok := l.config.Limit(state.Customer); !ok {
		return
	}
	s := l.share(now, state.Customer, held)
	for _, loan := range state.Loans {
		s.loans.issue(now, loan.Borrower, loan.Tokens, l.term)
		h := s.loans.holder(loan.Borrower)
		h.lastSeq = max(h.lastSeq, loan.Seq)
	}
	gained := ownTerm(age).Seconds() * s.limit.Rate
	s.level = max(0, min(s.level+state.Level+gained, s.room(now)))
	s.deficits.record(now, s.deficit(now))
}

// follows reports whether the held slots are those of a deposit, each in the
// tenure after it, and none has been adopted or had its full term.
func (l *lender) follows(backup *ShareBackup, held []HeldSlot, now time.Time) bool {
	if len(held) != len(backup.Slots) {
		return false
	}
	for _, slot := range held {
		former := SlotEpoch{Index: slot.Index, Epoch: slot.Epoch - 1}
		if !slices.Contains(backup.Slots, former) || !l.unknown(slot, now) {
			return false
		}
	}
	return true
}
