package lease

import (
	"math/rand/v2"
	"slices"
	"sync"
)

// WitnessRequest sends records of slots to a witness. An empty request only asks
// for the witness's records.
type WitnessRequest struct {
	// WitnessSet identifies the set of witnesses that the request is sent to. When a request
	// has another WitnessSet than the witness, the witness takes that WitnessSet, gets a new token and
	// is uninformed. Zero leaves the witness's set as it is.
	WitnessSet uint64
	// Token is the witness's token from a reply that is older than the read of Records
	// from the store. If it equals the witness's present token, the witness is informed
	// from then on. It is zero if Records is not the whole slot table.
	Token uint64
	// Claim is true if Records are tenures that their sender wants to resume without the
	// store.
	Claim   bool
	Records []Record
	// Released holds records that name the sender's address although it no longer holds
	// the slots. The witness deletes them.
	Released []Record
}

// WitnessReply is the state of a witness after a request.
type WitnessReply struct {
	// Token changes with each incarnation of the witness and each change of WitnessSet.
	Token uint64
	// Informed reports whether the witness has received the whole slot table since
	// it got the token.
	Informed bool
	Records  []Record
}

// contains reports whether the witness has a record of the same tenure.
func (r *WitnessReply) contains(record Record) bool {
	return slices.ContainsFunc(r.Records, record.isSameTenure)
}

// isSameTenure reports whether two records describe the same tenure.
func (r Record) isSameTenure(other Record) bool {
	return r.Index == other.Index && r.Address == other.Address && r.Incarnation == other.Incarnation && r.Epoch == other.Epoch
}

// Witness keeps the records of slots in memory. Holders that restart while the
// store is unreachable resume their slots from the records of a majority of the
// witnesses. It is safe for concurrent use.
type Witness struct {
	mu       sync.Mutex
	set      uint64
	token    uint64
	informed bool
	records  map[int]Record
}

// NewWitness returns a witness that has no records and is not informed.
func NewWitness() *Witness {
	return &Witness{token: newToken(), records: make(map[int]Record)}
}

// newToken returns a random nonzero token.
func newToken() uint64 { return rand.Uint64() | 1 }

// Handle applies a request and returns the witness's resulting state.
func (w *Witness) Handle(request WitnessRequest) WitnessReply {
	w.mu.Lock()
	defer w.mu.Unlock()
	if request.WitnessSet != 0 && request.WitnessSet != w.set {
		w.set = request.WitnessSet
		w.token = newToken()
		w.informed = false
	}
	for _, record := range request.Released {
		if w.records[record.Index].isSameTenure(record) {
			delete(w.records, record.Index)
		}
	}
	for _, record := range request.Records {
		if w.accepts(record, request.Claim) {
			record.IsClaim = request.Claim
			w.records[record.Index] = record
		}
	}
	w.informed = w.informed || (request.WitnessSet == w.set && request.Token == w.token)
	reply := WitnessReply{Token: w.token, Informed: w.informed}
	for _, record := range w.records {
		reply.Records = append(reply.Records, record)
	}
	return reply
}

// accepts reports whether a record replaces the witness's record of the slot. The
// new record must have a higher epoch. A claim is accepted only for the address that
// already holds the slot. A claim in memory is replaced only by a record of the same
// address, or by one whose EndedIncarnations holds the claiming incarnation. It must be
// called with mu held.
func (w *Witness) accepts(record Record, claim bool) bool {
	current, known := w.records[record.Index]
	sameAddress := current.Address == record.Address
	if claim && (!known || !sameAddress) {
		return false
	}
	if current.IsClaim && !sameAddress && !slices.Contains(record.EndedIncarnations, current.Incarnation) {
		return false
	}
	return record.Epoch > current.Epoch
}
