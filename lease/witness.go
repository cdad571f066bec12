package lease

import (
	"math/rand/v2"
	"slices"
	"sync"
)

// WitnessRequest tells a witness of slots, or only asks it when it is empty.
type WitnessRequest struct {
	// Set names the witnesses that are asked together. Zero asks about any.
	Set uint64
	// Token is the token that the witness had before Records was read from the
	// store. It is zero when Records is not the whole table.
	Token uint64
	// Claim marks Records as tenures that their holder resumed without the store.
	Claim   bool
	Records []Record
	// Released are records that their holder has found to be void.
	Released []Record
}

// WitnessReply is what a witness remembers after a request.
type WitnessReply struct {
	// Token changes with each life of the witness and each Set.
	Token uint64
	// Informed says that the witness has had the whole table since the token began.
	Informed bool
	Records  []Record
}

// has reports whether the witness remembers a record.
func (r *WitnessReply) has(record Record) bool {
	return slices.ContainsFunc(r.Records, record.same)
}

// same reports whether two records are the same tenure.
func (r Record) same(other Record) bool {
	return r.Index == other.Index && r.Address == other.Address && r.Incarnation == other.Incarnation && r.Epoch == other.Epoch
}

// Witness remembers the holders of slots in memory, for holders that restart
// while the store is away. It is safe for concurrent use.
type Witness struct {
	mu       sync.Mutex
	set      uint64
	token    uint64
	informed bool
	records  map[int]Record
}

// NewWitness returns a witness that remembers nothing and is not informed.
func NewWitness() *Witness {
	return &Witness{token: newToken(), records: make(map[int]Record)}
}

func newToken() uint64 { return rand.Uint64() | 1 }

// Handle takes in a request and returns what the witness then remembers.
func (w *Witness) Handle(request WitnessRequest) WitnessReply {
	w.mu.Lock()
	defer w.mu.Unlock()
	if request.Set != 0 && request.Set != w.set {
		w.set = request.Set
		w.token = newToken()
		w.informed = false
	}
	for _, record := range request.Released {
		if w.records[record.Index].same(record) {
			delete(w.records, record.Index)
		}
	}
	for _, record := range request.Records {
		if w.accepts(record, request.Claim) {
			record.Resumed = request.Claim
			w.records[record.Index] = record
		}
	}
	w.informed = w.informed || (request.Set == w.set && request.Token == w.token)
	reply := WitnessReply{Token: w.token, Informed: w.informed}
	for _, record := range w.records {
		reply.Records = append(reply.Records, record)
	}
	return reply
}

// accepts reports whether a record replaces the one that is remembered. A claim
// goes only from one life of an address to the next, and yields only to that
// address or to a holder that has waited for the claim's end; w.mu is held.
func (w *Witness) accepts(record Record, claim bool) bool {
	current, known := w.records[record.Index]
	sameAddress := current.Address == record.Address
	if claim && (!known || !sameAddress) {
		return false
	}
	if current.Resumed && !sameAddress && !slices.Contains(record.EndedIncarnations, current.Incarnation) {
		return false
	}
	return record.Epoch > current.Epoch
}
