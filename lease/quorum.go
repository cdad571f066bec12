package lease

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"
)

// maxPast bounds the claims that are remembered for a slot.
const maxPast = 16

// witnessTimeout bounds one exchange with the witnesses.
const witnessTimeout = 500 * time.Millisecond

// Witnesses reaches the processes that remember the slots.
type Witnesses interface {
	// Addresses returns the witnesses. Every holder of slots must have the same ones.
	Addresses() []string
	// Query sends a request to one witness. It blocks until the answer or the end of ctx.
	Query(ctx context.Context, address string, request WitnessRequest) (WitnessReply, error)
}

// noWitnesses is used when there are none.
type noWitnesses struct{}

func (noWitnesses) Addresses() []string { return nil }

func (noWitnesses) Query(context.Context, string, WitnessRequest) (WitnessReply, error) {
	return WitnessReply{}, context.Canceled
}

// poll holds the answers of the witnesses to one round of requests.
type poll struct {
	set       uint64
	addresses []string
	replies   map[string]WitnessReply
}

// quorum is the number of witnesses that is a majority.
func (p *poll) quorum() int { return len(p.addresses)/2 + 1 }

// answered reports whether a majority has answered, or there is nobody to ask.
func (p *poll) answered() bool {
	return len(p.addresses) == 0 || len(p.replies) >= p.quorum()
}

// informed counts the witnesses that know the whole table.
func (p *poll) informed() int {
	count := 0
	for _, reply := range p.replies {
		if reply.Informed {
			count++
		}
	}
	return count
}

// settled reports whether enough witnesses could speak for the slots.
func (p *poll) settled() bool {
	return len(p.addresses) == 0 || p.informed() >= p.quorum()
}

// remembered counts the informed witnesses that have a record.
func (p *poll) remembered(record Record) int {
	count := 0
	for _, reply := range p.replies {
		if reply.has(record) && reply.Informed {
			count++
		}
	}
	return count
}

// latest returns the newest record of each slot among the informed witnesses. A
// slot that two addresses claim with the same epoch is left out.
func (p *poll) latest() map[int]Record {
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

// askWitnesses asks all witnesses at once what they remember.
func (s *Slots) askWitnesses(ctx context.Context) *poll {
	addresses := slices.Clone(s.options.Witnesses.Addresses())
	slices.Sort(addresses)
	p := &poll{addresses: addresses, set: hash(strings.Join(addresses, " ")) | 1}
	p.replies = s.tell(ctx, p, func(string) *WitnessRequest { return new(WitnessRequest) })
	s.note(p)
	return p
}

// noteClaim takes in a tenure that was resumed without the store. Its holder is
// not silent; s.mu is held.
func (s *Slots) noteClaim(record Record) {
	if !record.Resumed || slices.ContainsFunc(s.claimed[record.Index], record.same) {
		return
	}
	claims := append(s.claimed[record.Index], record)
	s.claimed[record.Index] = claims[max(0, len(claims)-maxPast):]
	delete(s.dropped, record.Address)
}

// witnessLife is a witness's token and since when this process has seen it.
type witnessLife struct {
	token uint64
	since time.Time
}

// tell sends each witness the request that is made for it, if any, and returns the answers.
func (s *Slots) tell(ctx context.Context, p *poll, request func(address string) *WitnessRequest) map[string]WitnessReply {
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
		message.Set = p.set
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

// note takes in which tenures the witnesses have seen. A holder that began a new
// one has not been silent.
func (s *Slots) note(p *poll) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now()
	for address, reply := range p.replies {
		if s.lives[address].token != reply.Token {
			s.lives[address] = witnessLife{token: reply.Token, since: now}
		}
		for _, record := range reply.Records {
			s.noteClaim(record)
			if record.Epoch > s.witnessed[record.Index] {
				s.witnessed[record.Index] = record.Epoch
				delete(s.dropped, record.Address)
			}
		}
	}
}

// inform brings the witnesses up to what the store says, and begins the
// reclaimed tenures that a majority of them remembers. The poll must have been
// made before the store was read.
func (s *Slots) inform(ctx context.Context, p *poll) {
	records := s.Known()
	replies := s.tell(ctx, p, func(address string) *WitnessRequest {
		before, answered := p.replies[address]
		if !answered {
			return nil
		}
		request := &WitnessRequest{Token: before.Token, Records: records, Released: s.void(before.Records)}
		if before.Informed && len(request.Released) == 0 && !slices.ContainsFunc(records, before.lacks) {
			return nil
		}
		return request
	})
	for address, reply := range replies {
		p.replies[address] = reply
	}
	s.holdReclaimed(p)
}

// lacks reports whether a record is newer than what the witness remembers.
func (r *WitnessReply) lacks(record Record) bool {
	return !slices.ContainsFunc(r.Records, func(known Record) bool {
		return known.Index == record.Index && known.Epoch >= record.Epoch
	})
}

// void returns the tenures of this address that the store has given to others.
func (s *Slots) void(records []Record) []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	var void []Record
	for _, record := range records {
		_, held := s.held[record.Index]
		if record.Address == s.options.Address && s.known[record.Index].Address != record.Address && !held {
			void = append(void, record)
		}
	}
	return void
}

// resume takes up, while the store is away, the slots that a majority of the
// witnesses know to belong to this address. The store confirms or ends the
// tenures when it is back.
func (s *Slots) resume(ctx context.Context, p *poll) {
	if s.busy() || p.informed() < p.quorum() {
		return
	}
	claims := s.claims(p.latest())
	if len(claims) == 0 {
		return
	}
	replies := s.tell(ctx, p, func(string) *WitnessRequest {
		return &WitnessRequest{Claim: true, Records: claims}
	})
	answers := &poll{set: p.set, addresses: p.addresses, replies: replies}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, claim := range claims {
		if answers.remembered(claim) < p.quorum() || s.unsure {
			continue
		}
		s.known[claim.Index] = claim
		s.hold(claim, false)
		s.options.Log.Warn().Int("slot", claim.Index).Msg("lease: slot resumed without the store")
	}
}

// busy reports whether there are tenures already, confirmed or not.
func (s *Slots) busy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.held) > 0 || s.unsure
}

// claims returns the next tenures of the slots whose last holder was this address.
// A reclaimed slot whose tenure has not settled is left out: the host that it was
// taken from may still come back for it.
func (s *Slots) claims(latest map[int]Record) []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	var claims []Record
	for index, record := range latest {
		if record.Epoch > s.known[index].Epoch {
			s.known[index] = record
		}
		known := s.known[index]
		if _, pending := s.reclaimed[index]; pending || !s.settledOwn(known) || !s.settledOwn(record) {
			continue
		}
		claims = append(claims, Record{
			Index: index, Address: s.options.Address, Incarnation: s.life, Epoch: max(record.Epoch, known.Epoch) + 1,
		})
	}
	return claims
}

// settledOwn reports whether a record gives a slot to this address for good.
func (s *Slots) settledOwn(record Record) bool {
	return record.Address == s.options.Address && record.PreviousHolder == ""
}
