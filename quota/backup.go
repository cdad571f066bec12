package quota

import (
	"context"
	"slices"
	"sync"
	"time"
)

const (
	// custodyTerm is how long a deposit is kept.
	backupTTL = 2 * time.Minute
	// custodyCallTimeout bounds a deposit or a claim.
	backupCallTimeout = time.Second
)

// custody keeps the deposits of stopped holders until their next life claims them.
type backupStore struct {
	now   func() time.Time
	clock *instantClock

	mu      sync.Mutex
	backups map[string]storedBackup
	// reserves holds the notes of live holders.
	reserves map[string]*storedReserve
}

type storedBackup struct {
	backup    *ShareBackup
	stoppedAt time.Time
}

func newBackupStore(o *Options, clock *instantClock) *backupStore {
	return &backupStore{
		now:      o.Now,
		clock:    clock,
		backups:  make(map[string]storedBackup),
		reserves: make(map[string]*storedReserve),
	}
}

// keep stores a deposit.
func (s *backupStore) store(request *Request) *Reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	if request.ShareBackup == nil || s.backups == nil {
		// A reply without answers says that nothing was kept.
		return new(Reply)
	}
	now := s.now()
	s.removeExpiredReserves(now)
	for holder, stored := range s.backups {
		if now.Sub(stored.stoppedAt) > backupTTL {
			delete(s.backups, holder)
		}
	}
	s.backups[request.ShareBackup.Holder] = storedBackup{request.ShareBackup, now.Add(-request.ShareBackup.Age)}
	return &Reply{TokenReplies: []TokenReply{{}}}
}

// claim hands a deposit out, once.
func (s *backupStore) take(request *Request) *Reply {
	if request.ShareBackup == nil {
		return new(Reply)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	stored, ok := s.backups[request.ShareBackup.Holder]
	if !ok {
		return &Reply{ShareBackup: s.takeReserve(request.ShareBackup)}
	}
	delete(s.backups, request.ShareBackup.Holder)
	return &Reply{ShareBackup: stored.withAge(s.now())}
}

// aged returns the deposit as it is sent at a time.
func (b storedBackup) withAge(now time.Time) *ShareBackup {
	backup := *b.backup
	backup.Age = now.Sub(b.stoppedAt)
	return &backup
}

// close hands all deposits out, to be kept by another.
func (s *backupStore) closeAndTakeAll() []*ShareBackup {
	s.mu.Lock()
	defer s.mu.Unlock()
	var backups []*ShareBackup
	for _, stored := range s.backups {
		backups = append(backups, stored.withAge(s.now()))
	}
	s.backups = nil
	s.reserves = nil
	return backups
}

// backUp leaves the shares, and what was deposited here, with another router.
// Without one, their tokens are lost.
func (m *Manager) backUpShares(ctx context.Context) {
	backups := m.backups.closeAndTakeAll()
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
		reply, err := m.callBackupStore(ctx, router.Address, &Request{Tier: TierBackup, ShareBackup: backup})
		if err == nil && len(reply.TokenReplies) > 0 {
			return
		}
	}
	m.options.Log.Warn().Msg("quota: no router keeps the shares, their tokens are lost")
}

func (m *Manager) callBackupStore(ctx context.Context, address string, request *Request) (*Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, backupCallTimeout)
	defer cancel()
	return m.options.Transport.Call(ctx, address, request)
}

// recover claims the deposit of this address's former life while it can still matter.
func (m *Manager) recoverShares(ctx context.Context) {
	if m.options.Config.Revision() == 0 || !m.lender.needsBackup() {
		return
	}
	request := &Request{Tier: TierRestore, ShareBackup: m.lender.backupRequest()}
	var mu sync.Mutex
	var backups []*ShareBackup
	var calls sync.WaitGroup
	for _, router := range m.options.Directory.Routers() {
		if router.Address == m.options.Address || router.Region != m.options.Region {
			continue
		}
		calls.Go(func() {
			reply, err := m.callBackupStore(ctx, router.Address, request)
			if err == nil && reply.ShareBackup != nil {
				mu.Lock()
				defer mu.Unlock()
				backups = append(backups, reply.ShareBackup)
			}
		})
	}
	calls.Wait()
	m.lender.applyBackups(backups)
}

// claim names the tenures for which deposits are claimed.
func (l *lender) backupRequest() *ShareBackup {
	request := &ShareBackup{Holder: l.address}
	request.Slots = slotEpochs(l.directory.Held())
	return request
}

// recover takes over deposits. What a stopped holder left includes what it had reserved.
func (l *lender) applyBackups(backups []*ShareBackup) {
	for _, backup := range backups {
		if backup.Until.Incarnation == 0 {
			l.applyBackup(backup)
		}
	}
	for _, backup := range backups {
		if backup.Until.Incarnation != 0 {
			l.applyReserve(backup)
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
	l.totalUnspent(now)
	var loans []Loan
	for id, b := range l.borrowers {
		if b.outstanding+b.immediate > 0 {
			loans = append(loans, Loan{Borrower: id, Seq: b.lastSeq, Tokens: b.outstanding + b.immediate})
		}
	}
	return loans
}

// wantsBackup reports whether a former life's loans are still unknown.
func (l *lender) needsBackup() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	for _, slot := range l.directory.Held() {
		if l.hasUnknownLoans(slot, now) {
			return true
		}
	}
	return false
}

// unknown reports whether a former holder of a slot may have loans out that
// this process does not know.
func (l *lender) hasUnknownLoans(slot HeldSlot, now time.Time) bool {
	if slot.Unused || !now.Before(slot.Since.Add(l.term)) {
		return false
	}
	return l.backupApplied[slot.Index] != slot.Epoch
}

// adopt takes over a deposit of the tenures that came right before the present
// ones. The tokens gained meanwhile are added, less an allowance for drift.
func (l *lender) applyBackup(backup *ShareBackup) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	held := l.directory.Held()
	if l.closed || !l.succeedsBackup(backup, held, now) || l.hasAppliedReserve(held) {
		return
	}
	for _, slot := range held {
		l.backupApplied[slot.Index] = slot.Epoch
	}
	for i := range backup.Shares {
		l.applyShareState(now, &backup.Shares[i], held, backup.Age)
	}
}

func (l *lender) applyShareState(now time.Time, state *ShareState, held []HeldSlot, age time.Duration) {
	if _, ok := l.config.Limit(state.Customer); !ok {
		return
	}
	s := l.share(now, state.Customer, held)
	for _, loan := range state.Loans {
		s.loans.issue(now, loan.Borrower, loan.Tokens, l.term)
		b := s.loans.borrower(loan.Borrower)
		b.lastSeq = max(b.lastSeq, loan.Seq)
	}
	gained := borrowerTerm(age).Seconds() * s.limit.Rate
	s.level = max(0, min(s.level+state.Level+gained, s.maxLevel(now)))
	s.deficits.record(now, s.deficit(now))
}

// follows reports whether the held slots are those of a deposit, each in the
// tenure after it, and none has been adopted or had its full term.
func (l *lender) succeedsBackup(backup *ShareBackup, held []HeldSlot, now time.Time) bool {
	if len(held) != len(backup.Slots) {
		return false
	}
	for _, slot := range held {
		previous := SlotEpoch{Index: slot.Index, Epoch: slot.Epoch - 1}
		if !slices.Contains(backup.Slots, previous) || !l.hasUnknownLoans(slot, now) {
			return false
		}
	}
	return true
}
