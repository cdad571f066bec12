package lease

import (
	"context"
	"net"
	"slices"

	"github.com/greengagegate/greengagegate/store"
)

// reclaimSlot writes a reclaim record for at most one slot whose holder's host has
// been missing from the platform's list for long enough. The tenure begins later,
// when a majority of the witnesses has the record.
func (s *Slots) reclaimSlot(ctx context.Context, count int) {
	hosts, err := s.options.Lister.Hosts(ctx)
	if err != nil {
		return
	}
	for _, record := range s.reclaimable(hosts, count) {
		s.addPendingReclaim(record.Index)
		if s.writeRecord(ctx, s.reclaimRecord(record)) {
			return
		}
	}
}

// addPendingReclaim marks a slot as being reclaimed. Its tenure does not begin
// before the witnesses have its new holder and a later read of the platform's list
// shows that the previous holder's host is still missing.
func (s *Slots) addPendingReclaim(index int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pendingReclaims[index] = false
}

// reclaimable returns the records of the slots that may be reclaimed, and updates
// unlistedSince. A slot may be reclaimed when its holder's host has been missing from
// the platform's list for the whole wait without interruption. The wait is
// ReclaimAfter, plus ExtraAfter if this process already holds a slot.
func (s *Slots) reclaimable(hosts []store.Host, count int) []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now()
	wait := s.options.ReclaimAfter
	if len(s.held) > 0 {
		wait += s.options.ExtraAfter
	}
	var records []Record
	for index, record := range s.known {
		listed := slices.ContainsFunc(hosts, func(h store.Host) bool { return isSameHost(h.Address, record.Address) })
		if listed || s.isAlive(record.Address) || index >= count || record.Incarnation == s.incarnation {
			delete(s.unlistedSince, record.Address)
			continue
		}
		if s.unlistedSince[record.Address].IsZero() {
			s.unlistedSince[record.Address] = now
		}
		if now.Sub(s.unlistedSince[record.Address]) >= wait {
			records = append(records, record)
		}
	}
	return records
}

// hasHolderOfUnknownState reports whether there is a holder, other than this
// incarnation, that SlotsOptions.Alive does not report as alive.
func (s *Slots) hasHolderOfUnknownState() bool {
	for _, record := range s.Known() {
		if record.Incarnation != s.incarnation && !s.isAlive(record.Address) {
			return true
		}
	}
	return false
}

func (s *Slots) isAlive(address string) bool {
	return s.options.Alive != nil && s.options.Alive(address)
}

// isSameHost reports whether two addresses are equal apart from their ports.
func isSameHost(a, b string) bool {
	return hostOf(a) == hostOf(b)
}

func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

// reclaimRecord returns the record with which this process takes a slot from a host
// that the platform no longer lists. EndedIncarnations gets the incarnations of that
// host that claimed the slot without the store: the host has been missing for the whole
// wait, so none of them runs.
func (s *Slots) reclaimRecord(previous Record) Record {
	record := s.nextRecord(previous)
	record.PreviousHolder = previous.Address
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, claim := range s.seenClaims[previous.Index] {
		if claim.Address == previous.Address && !slices.Contains(record.EndedIncarnations, claim.Incarnation) {
			record.EndedIncarnations = append(slices.Clone(record.EndedIncarnations), claim.Incarnation)
		}
	}
	record.EndedIncarnations = record.EndedIncarnations[max(0, len(record.EndedIncarnations)-maxIncarnationsPerSlot):]
	return record
}

// verifyPendingReclaims checks the pending reclaims against the platform's list. It
// gives a slot back to its previous holder if that host is listed again or alive, and
// lets the tenure begin only if the list was read and the host is still missing.
func (s *Slots) verifyPendingReclaims(ctx context.Context) {
	pending := s.pendingRecords()
	if len(pending) == 0 {
		return
	}
	hosts, err := s.options.Lister.Hosts(ctx)
	for _, record := range pending {
		listed := slices.ContainsFunc(hosts, func(h store.Host) bool { return isSameHost(h.Address, record.PreviousHolder) })
		switch {
		case err != nil:
			s.setUnverified(record.Index, true)
		case listed || s.isAlive(record.PreviousHolder):
			// The tenure must not begin from this record even if the write below fails.
			s.setUnverified(record.Index, true)
			returned := Record{
				Index: record.Index, Address: record.PreviousHolder, Epoch: record.Epoch + 1,
				EndedIncarnations: record.EndedIncarnations, version: record.version,
			}
			if s.writeRecord(ctx, returned) {
				s.removePendingReclaim(record.Index)
			}
		default:
			s.setUnverified(record.Index, false)
		}
	}
}

// settleReclaimed rewrites the records of reclaimed tenures that have begun as those
// of ordinary tenures. The next incarnation of this process can then take the slots
// without waiting for the witnesses.
func (s *Slots) settleReclaimed(ctx context.Context) {
	for _, record := range s.Known() {
		if record.PreviousHolder == "" || record.Incarnation != s.incarnation || !s.holdsTenure(record) {
			continue
		}
		record.PreviousHolder = ""
		s.writeRecord(ctx, record)
	}
}

// holdsTenure reports whether this process holds the tenure of a record.
func (s *Slots) holdsTenure(record Record) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	tenure, held := s.held[record.Index]
	return held && tenure.Epoch == record.Epoch
}

// pendingRecords returns the records of this process's reclaims whose tenures have
// not begun.
func (s *Slots) pendingRecords() []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	var pending []Record
	for index := range s.pendingReclaims {
		if record := s.known[index]; record.Incarnation == s.incarnation && record.Address == s.options.Address {
			pending = append(pending, record)
		}
	}
	return pending
}

// setUnverified records whether a pending reclaim is unverified: whether the platform's
// list has yet to show that the previous holder's host is still missing. The tenure of
// an unverified reclaim does not begin, because that host may be listed again. In
// pendingReclaims, true stands for a verified reclaim.
func (s *Slots) setUnverified(index int, unverified bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pendingReclaims[index] = !unverified
}

func (s *Slots) removePendingReclaim(index int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pendingReclaims, index)
}

// countLongKnown returns the number of witnesses that have a record and whose token
// this process has known for at least ReclaimAfter. A witness that started later may
// have lost a claim that the previous holder made during the wait. It must be called
// with mu held.
func (s *Slots) countLongKnown(p *poll, record Record) int {
	count := 0
	now := s.options.Now()
	for address, reply := range p.replies {
		token := s.witnessTokens[address]
		if reply.contains(record) && token.value == reply.Token && now.Sub(token.firstSeenAt) >= s.options.ReclaimAfter {
			count++
		}
	}
	return count
}

// beginReclaimed begins the tenure of each verified reclaim that a majority of the
// witnesses has recorded. Only witnesses whose token this process has known for at
// least ReclaimAfter count.
func (s *Slots) beginReclaimed(p *poll) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for index, verified := range s.pendingReclaims {
		record := s.known[index]
		if !verified || record.Incarnation != s.incarnation || record.Address != s.options.Address {
			continue
		}
		if len(p.addresses) > 0 && s.countLongKnown(p, record) < p.quorum() {
			continue
		}
		delete(s.pendingReclaims, index)
		s.beginTenure(record, false)
	}
}
