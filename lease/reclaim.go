package lease

import (
	"context"
	"net"
	"slices"

	"github.com/greengagegate/greengagegate/store"
)

// reclaim takes one slot whose holder the platform has dropped for long enough.
// The tenure begins when a majority of the witnesses knows of it.
func (s *Slots) reclaim(ctx context.Context, count int) {
	hosts, err := s.options.Lister.Hosts(ctx)
	if err != nil {
		return
	}
	for _, record := range s.lost(hosts, count) {
		s.markReclaimed(record.Index)
		if s.put(ctx, s.reclaiming(record)) {
			return
		}
	}
}

// markReclaimed keeps a slot from being used before the witnesses know its new
// holder and the former one is known to be unlisted still.
func (s *Slots) markReclaimed(index int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reclaimed[index] = false
}

// lost returns the slots of hosts that have been missing from the platform's
// list for long enough, without interruption.
func (s *Slots) lost(hosts []store.Host, count int) []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now()
	wait := s.options.ReclaimAfter
	if len(s.held) > 0 {
		wait += s.options.ExtraAfter
	}
	var lost []Record
	for index, record := range s.known {
		listed := slices.ContainsFunc(hosts, func(h store.Host) bool { return sameHost(h.Address, record.Address) })
		if listed || s.alive(record.Address) || index >= count || record.Incarnation == s.life {
			delete(s.dropped, record.Address)
			continue
		}
		if s.dropped[record.Address].IsZero() {
			s.dropped[record.Address] = now
		}
		if now.Sub(s.dropped[record.Address]) >= wait {
			lost = append(lost, record)
		}
	}
	return lost
}

// hasSilent reports whether some holder is not known to be alive.
func (s *Slots) hasSilent() bool {
	for _, record := range s.Known() {
		if record.Incarnation != s.life && !s.alive(record.Address) {
			return true
		}
	}
	return false
}

func (s *Slots) alive(address string) bool {
	return s.options.Alive != nil && s.options.Alive(address)
}

// sameHost compares two addresses without their ports.
func sameHost(a, b string) bool {
	return hostOf(a) == hostOf(b)
}

func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

// reclaiming returns the record with which this process takes a slot from a host
// that the platform has dropped. The claims of that host that were seen before
// the wait are past with it.
func (s *Slots) reclaiming(former Record) Record {
	record := s.successor(former)
	record.PreviousHolder = former.Address
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, claim := range s.claimed[former.Index] {
		if claim.Address == former.Address && !slices.Contains(record.EndedIncarnations, claim.Incarnation) {
			record.EndedIncarnations = append(slices.Clone(record.EndedIncarnations), claim.Incarnation)
		}
	}
	record.EndedIncarnations = record.EndedIncarnations[max(0, len(record.EndedIncarnations)-maxPast):]
	return record
}

// returnListed gives reclaimed slots that are not held yet back to hosts that
// the platform lists again.
func (s *Slots) returnListed(ctx context.Context) {
	pending := s.pending()
	if len(pending) == 0 {
		return
	}
	hosts, err := s.options.Lister.Hosts(ctx)
	for _, record := range pending {
		listed := slices.ContainsFunc(hosts, func(h store.Host) bool { return sameHost(h.Address, record.PreviousHolder) })
		switch {
		case err != nil:
			s.doubt(record.Index, true)
		case listed || s.alive(record.PreviousHolder):
			// Whatever comes of the write, the tenure must not begin by this record.
			s.doubt(record.Index, true)
			back := Record{
				Index: record.Index, Address: record.PreviousHolder, Epoch: record.Epoch + 1,
				EndedIncarnations: record.EndedIncarnations, version: record.version,
			}
			if s.put(ctx, back) {
				s.unmarkReclaimed(record.Index)
			}
		default:
			s.doubt(record.Index, false)
		}
	}
}

// settle rewrites the reclaimed tenures that have begun as ordinary ones, which
// the next life of this process takes up at once.
func (s *Slots) settle(ctx context.Context) {
	for _, record := range s.Known() {
		if record.PreviousHolder == "" || record.Incarnation != s.life || !s.holds(record) {
			continue
		}
		record.PreviousHolder = ""
		s.put(ctx, record)
	}
}

func (s *Slots) holds(record Record) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	tenure, held := s.held[record.Index]
	return held && tenure.Epoch == record.Epoch
}

// pending returns the reclaimed tenures that have not begun.
func (s *Slots) pending() []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	var pending []Record
	for index := range s.reclaimed {
		if record := s.known[index]; record.Incarnation == s.life && record.Address == s.options.Address {
			pending = append(pending, record)
		}
	}
	return pending
}

// doubt keeps a reclaimed tenure from beginning while it is not known whether
// the former holder's host is listed.
func (s *Slots) doubt(index int, doubtful bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reclaimed[index] = !doubtful
}

func (s *Slots) unmarkReclaimed(index int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.reclaimed, index)
}

// longLived counts the witnesses that have a record and whose life covers the
// whole wait before a reclaim. One that started later may have forgotten a claim that the
// former holder made in that time; s.mu is held.
func (s *Slots) longLived(p *poll, record Record) int {
	count := 0
	now := s.options.Now()
	for address, reply := range p.replies {
		life := s.lives[address]
		if reply.has(record) && life.token == reply.Token && now.Sub(life.since) >= s.options.ReclaimAfter {
			count++
		}
	}
	return count
}

// holdReclaimed begins the tenures that were taken from other hosts, once a
// majority of the witnesses would name this holder, each of which has lived
// through the wait for the former one.
func (s *Slots) holdReclaimed(p *poll) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for index, verified := range s.reclaimed {
		record := s.known[index]
		if !verified || record.Incarnation != s.life || record.Address != s.options.Address {
			continue
		}
		if len(p.addresses) > 0 && s.longLived(p, record) < p.quorum() {
			continue
		}
		delete(s.reclaimed, index)
		s.hold(record, false)
	}
}
