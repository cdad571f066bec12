package quota

import (
	"context"
	"slices"
	"sync"
	"time"
)

const (
	// backupTTL is how long a peer keeps a share backup.
	backupTTL = 2 * time.Minute
	// backupCallTimeout bounds a call that stores or takes a share backup.
	backupCallTimeout = time.Second
)

// backupStore keeps the share backups of stopped holders until the holder's
// next incarnation takes them, and the reserves of running holders. It is safe
// for concurrent use.
type backupStore struct {
	now   func() time.Time
	clock *instantClock

	mu sync.Mutex
	// backups is keyed by the holder's address. It is nil once the store is
	// closed.
	backups map[string]storedBackup
	// reserves holds the tokens that running holders have promised not to lend,
	// by the holder's address.
	reserves map[string]*storedReserve
}

// storedBackup is a share backup with the time at which its holder stopped.
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

// store keeps a share backup. The reply contains a token reply if the backup
// was kept.
func (s *backupStore) store(request *Request) *Reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	if request.ShareBackup == nil || s.backups == nil {
		// A reply without token replies means that nothing was kept.
		return new(Reply)
	}
	now := s.now()
	s.removeExpiredReserves(now)
	for holder, kept := range s.backups {
		if now.Sub(kept.stoppedAt) > backupTTL {
			delete(s.backups, holder)
		}
	}
	s.backups[request.ShareBackup.Holder] = storedBackup{request.ShareBackup, now.Add(-request.ShareBackup.Age)}
	return &Reply{TokenReplies: []TokenReply{{}}}
}

// take returns the backup of a holder, or its reserve if there is no backup,
// and removes it, so that it is returned only once. A backup is returned
// whatever the requested slots; applyBackup checks them.
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

// withAge returns a copy of the backup with its age at a time.
func (b storedBackup) withAge(now time.Time) *ShareBackup {
	backup := *b.backup
	backup.Age = now.Sub(b.stoppedAt)
	return &backup
}

// closeAndTakeAll closes the store and returns all backups, so that the caller
// can store them with another peer.
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

// backUpShares sends the state of this process's shares, and the backups that
// it keeps for other holders, to peers. Tokens of a backup that no peer keeps
// are lost.
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

// backUpOne stores a backup with the first router of the region that accepts
// it.
func (m *Manager) backUpOne(ctx context.Context, backup *ShareBackup) {
	for _, router := range m.options.Directory.Routers() {
		excluded := router.Address == m.options.Address || router.Address == backup.Holder
		if excluded || router.Region != m.options.Region {
			continue
		}
		reply, err := m.callBackupStore(ctx, router.Address, &Request{Kind: KindBackup, ShareBackup: backup})
		if err == nil && len(reply.TokenReplies) > 0 {
			return
		}
	}
	m.options.Log.Warn().Msg("quota: no router in the region accepted a share backup; the tokens of these shares are lost")
}

func (m *Manager) callBackupStore(ctx context.Context, address string, request *Request) (*Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, backupCallTimeout)
	defer cancel()
	return m.options.Transport.Call(ctx, address, request)
}

// recoverShares asks all routers of the region for the backup and the reserve
// of this address's previous incarnation. It does nothing once no held slot can
// have unknown loans.
func (m *Manager) recoverShares(ctx context.Context) {
	if m.options.Config.Revision() == 0 || !m.lender.needsBackup() {
		return
	}
	request := &Request{Kind: KindRestore, ShareBackup: m.lender.backupRequest()}
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

// backupRequest returns a request for the backup of this address, with the
// epochs of the held slots.
func (l *lender) backupRequest() *ShareBackup {
	request := &ShareBackup{Holder: l.address}
	request.Slots = slotEpochs(l.directory.Held())
	return request
}

// applyBackups restores shares from the backups that peers returned. Backups
// are applied before reserves, because the backup of a stopped holder already
// includes its reserved tokens.
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

// close ends lending and returns the state of the shares, or nil if no slot is
// held.
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
		state := ShareState{Customer: customer, Level: s.level, Loans: s.loans.unspentLoans(now)}
		backup.Shares = append(backup.Shares, state)
	}
	return backup
}

// unspentLoans lists the tokens that each borrower may still have unspent.
func (l *ledger) unspentLoans(now time.Time) []Loan {
	l.totalUnspent(now) // removes expired tokens
	var loans []Loan
	for id, b := range l.borrowers {
		if b.held+b.immediate > 0 {
			loans = append(loans, Loan{Borrower: id, Seq: b.lastSeq, Tokens: b.held + b.immediate})
		}
	}
	return loans
}

// needsBackup reports whether the previous holder of a held slot may have loans
// that this process does not know.
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

// hasUnknownLoans reports whether the previous holder of a slot may have
// unexpired loans that this process does not know.
func (l *lender) hasUnknownLoans(slot HeldSlot, now time.Time) bool {
	if slot.Unused || !now.Before(slot.Since.Add(l.loanTerm)) {
		return false
	}
	return l.backupApplied[slot.Index] != slot.Epoch
}

// applyBackup restores shares from a backup of the slot epochs immediately
// before the present ones. It adds the tokens gained since the holder stopped,
// less an allowance for clock drift. It does nothing if lending has ended, if
// the held slots are not exactly the next epochs of the backup's slots, if they
// can no longer have unknown loans, or if a reserve was applied before.
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

// applyShareState restores one customer's share. Customers that no longer have
// a limit are skipped. The caller holds l.mu.
func (l *lender) applyShareState(now time.Time, state *ShareState, held []HeldSlot, age time.Duration) {
	if _, ok := l.config.Limit(state.Customer); !ok {
		return
	}
	s := l.share(now, state.Customer, held)
	for _, loan := range state.Loans {
		s.loans.issue(now, loan.Borrower, loan.Tokens, l.loanTerm)
		b := s.loans.borrower(loan.Borrower)
		b.lastSeq = max(b.lastSeq, loan.Seq)
	}
	gained := borrowerTerm(age).Seconds() * s.limit.Rate
	s.level = max(0, min(s.level+state.Level+gained, s.maxLevel(now)))
	s.deficits.record(now, s.deficit(now))
}

// succeedsBackup reports whether the held slots are those of a backup, each one
// epoch later, and whether each may still have unknown loans: no backup was
// applied to it and it has been held for less than a loan term.
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
