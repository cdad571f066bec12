package lease

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"
)

// maxIncarnationsPerSlot bounds the ended incarnations and the claims that are kept for
// each slot.
const maxIncarnationsPerSlot = 16

// witnessTimeout bounds one round of requests to the witnesses.
const witnessTimeout = 500 * time.Millisecond

// WitnessClient sends requests to the witnesses, which are processes that remember the
// holders of slots.
type WitnessClient interface {
	// Addresses returns the witnesses' addresses. All holders of slots must use the
	// same witnesses.
	Addresses() []string
	// Query sends a request to one witness. It blocks until the reply arrives or ctx
	// ends, and is called concurrently.
	Query(ctx context.Context, address string, request WitnessRequest) (WitnessReply, error)
}

// noWitnessClient implements WitnessClient without any witness.
type noWitnessClient struct{}

func (noWitnessClient) Addresses() []string { return nil }

func (noWitnessClient) Query(context.Context, string, WitnessRequest) (WitnessReply, error) {
	return WitnessReply{}, context.Canceled
}

// poll holds the replies of the witnesses to one round of requests.
type poll struct {
	// set identifies the set of addresses; it is never zero.
	set       uint64
	addresses []string
	replies   map[string]WitnessReply
}

// quorum returns the number of witnesses that form a majority.
func (p *poll) quorum() int { return len(p.addresses)/2 + 1 }

// hasQuorum reports whether a majority has replied, or there are no witnesses.
func (p *poll) hasQuorum() bool {
	return len(p.addresses) == 0 || len(p.replies) >= p.quorum()
}

// informedCount returns the number of witnesses that know the whole slot table.
func (p *poll) informedCount() int {
	count := 0
	for _, reply := range p.replies {
		if reply.Informed {
			count++
		}
	}
	return count
}

// hasInformedQuorum reports whether a majority of the witnesses is informed, so
// that slots could be resumed without the store, or there are no witnesses.
func (p *poll) hasInformedQuorum() bool {
	return len(p.addresses) == 0 || p.informedCount() >= p.quorum()
}

// countInformedWith returns the number of informed witnesses that have the record.
func (p *poll) countInformedWith(record Record) int {
	count := 0
	for _, reply := range p.replies {
		if reply.contains(record) && reply.Informed {
			count++
		}
	}
	return count
}

// latestRecords returns the newest record of each slot among the informed
// witnesses. It omits a slot for which two addresses have the same, newest epoch.
func (p *poll) latestRecords() map[int]Record {
	latest := make(map[int]Record)
	disputed := make(map[int]uint64)
	for _, reply := range p.replies {
		if !reply.Informed {
			continue
		}
		for _, record := range reply.Records {
			newest := latest[record.Index]
			if record.Epoch == newest.Epoch && record.Address != newest.Address {
				disputed[record.Index] = record.Epoch
			}
			if record.Epoch > newest.Epoch {
				latest[record.Index] = record
			}
		}
	}
	for index, epoch := range disputed {
		if latest[index].Epoch == epoch {
			delete(latest, index)
		}
	}
	return latest
}

// queryWitnesses asks all witnesses concurrently for their records.
func (s *Slots) queryWitnesses(ctx context.Context) *poll {
	addresses := slices.Clone(s.options.Witnesses.Addresses())
	slices.Sort(addresses)
	p := &poll{addresses: addresses, set: hashText(strings.Join(addresses, " ")) | 1}
	p.replies = s.sendToWitnesses(ctx, p, func(string) *WitnessRequest { return new(WitnessRequest) })
	s.recordReplies(p)
	return p
}

// recordClaim remembers a claim that a witness reported. The wait before a reclaim
// starts over for its holder, which was alive to send it. It must be called with mu
// held.
func (s *Slots) recordClaim(record Record) {
	if !record.IsClaim || slices.ContainsFunc(s.seenClaims[record.Index], record.isSameTenure) {
		return
	}
	claims := append(s.seenClaims[record.Index], record)
	s.seenClaims[record.Index] = claims[max(0, len(claims)-maxIncarnationsPerSlot):]
	delete(s.unlistedSince, record.Address)
}

// witnessToken is a witness's token, which changes with each incarnation of the witness
// and each change of the set of witnesses, and the time when this process first saw it.
type witnessToken struct {
	value       uint64
	firstSeenAt time.Time
}

// sendToWitnesses sends each witness the request that the function returns for its
// address, or none if that is nil. It blocks for at most witnessTimeout and returns
// the replies by address.
func (s *Slots) sendToWitnesses(ctx context.Context, p *poll, request func(address string) *WitnessRequest) map[string]WitnessReply {
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	var mu sync.Mutex
	var tasks sync.WaitGroup
	replies := make(map[string]WitnessReply)
	for _, address := range p.addresses {
		message := request(address)
		if message == nil {
			continue
		}
		message.WitnessSet = p.set
		tasks.Go(func() {
			reply, err := s.options.Witnesses.Query(ctx, address, *message)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			replies[address] = reply
		})
	}
	tasks.Wait()
	return replies
}

// recordReplies records the tokens and tenures that the witnesses reported. The
// wait before a reclaim starts over for a holder with a new tenure, because it is
// alive.
func (s *Slots) recordReplies(p *poll) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now()
	for address, reply := range p.replies {
		if s.witnessTokens[address].value != reply.Token {
			s.witnessTokens[address] = witnessToken{value: reply.Token, firstSeenAt: now}
		}
		for _, record := range reply.Records {
			s.recordClaim(record)
			if record.Epoch > s.witnessedEpochs[record.Index] {
				s.witnessedEpochs[record.Index] = record.Epoch
				delete(s.unlistedSince, record.Address)
			}
		}
	}
}

// informAndBeginReclaimed sends the stored records to witnesses that lack some of them,
// and begins the reclaimed tenures that a majority of the witnesses has recorded. The
// poll must have been made before the store was read: a token that was read after the
// records could belong to a witness that has lost newer ones.
func (s *Slots) informAndBeginReclaimed(ctx context.Context, p *poll) {
	records := s.Known()
	replies := s.sendToWitnesses(ctx, p, func(address string) *WitnessRequest {
		last, answered := p.replies[address]
		if !answered {
			return nil
		}
		request := &WitnessRequest{Token: last.Token, Records: records, Released: s.releasedRecords(last.Records)}
		if last.Informed && len(request.Released) == 0 && !slices.ContainsFunc(records, last.lacks) {
			return nil
		}
		return request
	})
	for address, reply := range replies {
		p.replies[address] = reply
	}
	s.beginReclaimed(p)
}

// lacks reports whether the witness has neither this record nor a newer one of the
// slot.
func (r *WitnessReply) lacks(record Record) bool {
	return !slices.ContainsFunc(r.Records, func(known Record) bool {
		return known.Index == record.Index && known.Epoch >= record.Epoch
	})
}

// releasedRecords returns those records that name this address although the last known
// holder is another address and this process does not hold the slot.
func (s *Slots) releasedRecords(records []Record) []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	var released []Record
	for _, record := range records {
		_, held := s.held[record.Index]
		if record.Address == s.options.Address && s.known[record.Index].Address != record.Address && !held {
			released = append(released, record)
		}
	}
	return released
}

// resumeSlots begins tenures while the store is unreachable. It takes the slots
// whose last holder, by the records of a majority of the witnesses, was this
// address. Once the store is reachable again, reading it confirms or ends the
// tenures.
func (s *Slots) resumeSlots(ctx context.Context, p *poll) {
	// hasInformedQuorum is true without witnesses, but then nothing may be resumed.
	if s.hasTenures() || p.informedCount() < p.quorum() {
		return
	}
	claims := s.buildClaims(p.latestRecords())
	if len(claims) == 0 {
		return
	}
	replies := s.sendToWitnesses(ctx, p, func(string) *WitnessRequest {
		return &WitnessRequest{Claim: true, Records: claims}
	})
	answers := &poll{set: p.set, addresses: p.addresses, replies: replies}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, claim := range claims {
		if answers.countInformedWith(claim) < p.quorum() || s.unconfirmedSincePause {
			continue
		}
		s.known[claim.Index] = claim
		s.beginTenure(claim, false)
		s.options.Log.Warn().Int("slot", claim.Index).Msg("lease: slot resumed without the store")
	}
}

// hasTenures reports whether this process has tenures, or waits for the store to
// confirm them after a pause.
func (s *Slots) hasTenures() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.held) > 0 || s.unconfirmedSincePause
}

// buildClaims returns records of the next tenures of the slots whose last holder
// was this address. It first replaces known records by newer ones in latest. It omits
// reclaimed slots that are not settled, because the previous holder's host may still
// get them back. It must not be called with mu held.
func (s *Slots) buildClaims(latest map[int]Record) []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	var claims []Record
	for index, record := range latest {
		if record.Epoch > s.known[index].Epoch {
			s.known[index] = record
		}
		known := s.known[index]
		if _, pending := s.pendingReclaims[index]; pending || !s.isSettledHere(known) || !s.isSettledHere(record) {
			continue
		}
		claims = append(claims, Record{
			Index: index, Address: s.options.Address, Incarnation: s.incarnation, Epoch: max(record.Epoch, known.Epoch) + 1,
		})
	}
	return claims
}

// isSettledHere reports whether a record names this address as holder and has no
// PreviousHolder.
func (s *Slots) isSettledHere(record Record) bool {
	return record.Address == s.options.Address && record.PreviousHolder == ""
}
