package publish

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"
)

// soakCustomers are the objects that the randomised run changes.
var soakCustomers = []string{"pilots", "clerks"}

// historyInput is one operation on one customer's object: a conditional change
// of its rate, or a read.
type historyInput struct {
	customer string
	read     bool
	base     string
	rate     int
}

// historyOutput is the outcome of a change, or the digest that was read.
type historyOutput struct {
	outcome Outcome
	digest  string
}

// model is a register with conditional updates for each customer; its state is
// the digest of the object.
func model(initial map[string]string) porcupine.Model {
	return porcupine.Model{
		Partition: partition,
		Init:      func() any { return "" },
		Step: func(state, input, output any) (bool, any) {
			in, out := input.(historyInput), output.(historyOutput)
			now := state.(string)
			if now == "" {
				now = initial[in.customer]
			}
			return step(now, in, out)
		},
		DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v -> %+v", input, output) },
	}
}

func step(now string, in historyInput, out historyOutput) (bool, any) {
	wanted := rateDigest(in.customer, in.rate)
	switch {
	case in.read:
		return out.digest == now, now
	case out.outcome == OutcomeAccepted:
		return in.base == now, wanted
	case out.outcome == OutcomeUnchanged:
		return wanted == now, now
	case out.outcome == OutcomeConflict:
		return in.base != now && wanted != now, now
	case out.outcome == OutcomeUnknown && in.base == now:
		return true, wanted
	default:
		return true, now
	}
}

func partition(history []porcupine.Operation) [][]porcupine.Operation {
	byCustomer := make(map[string][]porcupine.Operation)
	for _, operation := range history {
		customer := operation.Input.(historyInput).customer
		byCustomer[customer] = append(byCustomer[customer], operation)
	}
	var parts [][]porcupine.Operation
	for _, part := range byCustomer {
		parts = append(parts, part)
	}
	return parts
}

func rateDigest(name string, rate int) string {
	return Digest(canonicalCustomer(name, rate))
}

func canonicalCustomer(name string, rate int) []byte {
	wanted, _ := record(customer(name, rate, ""), "Customer/"+name)
	return wanted.Value
}

// publish changes a random customer's rate through a random router, as seen there.
func (s *soak) publish() {
	p := s.fleet.at(s.any(s.routers))
	name := s.any(soakCustomers)
	present, ok := p.manager.Snapshot().Get("Customer/" + name)
	if !ok {
		return
	}
	in := historyInput{customer: name, base: Digest(present), rate: 1000 + s.random.IntN(1_000_000)}
	client := s.client()
	s.tasks.Go(func() {
		call := s.moment()
		result := p.publisher.Publish(s.t.Context(), Request{Changes: []Change{customer(name, in.rate, in.base)}})
		s.record(in, historyOutput{outcome: result.Outcome}, client, call)
		if result.Outcome == OutcomeAccepted {
			s.accept(acceptance{result.Revision, result.Nonce, time.Now()})
		}
	})
}

// read reads a random customer's object from the store, past any cache.
func (s *soak) read() {
	p := s.fleet.at(s.any(s.routers))
	name := s.any(soakCustomers)
	client := s.client()
	s.tasks.Go(func() {
		call := s.moment()
		state, err := p.manager.Repository().Head(s.t.Context())
		if err != nil {
			return
		}
		loaded, err := p.manager.Repository().Load(s.t.Context(), state, p.manager.Snapshot())
		if err != nil {
			return
		}
		value, _ := loaded.Get("Customer/" + name)
		s.record(historyInput{customer: name, read: true}, historyOutput{digest: Digest(value)}, client, call)
	})
}

func (s *soak) client() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.operations)
}

func (s *soak) moment() int64 { return int64(time.Since(s.began)) }

// record adds an operation to the history. One of unknown outcome never ends.
func (s *soak) record(in historyInput, out historyOutput, client int, call int64) {
	end := s.moment()
	if out.outcome == OutcomeUnknown {
		end = int64(1) << 62
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.operations = append(s.operations, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: call, Return: end})
}

func (s *soak) accept(a acceptance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.accepted = append(s.accepted, a)
}

// checkHistory asserts that publications and reads are linearizable, and that
// what was accepted is in the head's history.
func (s *soak) checkHistory() {
	initial := make(map[string]string)
	for _, change := range demoChanges(s.t) {
		wanted, _ := record(change, "")
		initial[change.Name] = Digest(wanted.Value)
	}
	outcomes := make(map[Outcome]int)
	for _, operation := range s.operations {
		outcomes[operation.Output.(historyOutput).outcome]++
	}
	s.t.Logf("%d operations: %v", len(s.operations), outcomes)
	switch porcupine.CheckOperationsTimeout(model(initial), s.operations, porcupineTime) {
	case porcupine.Illegal:
		s.t.Fatalf("the history is not linearizable: %+v", s.operations)
	case porcupine.Unknown:
		s.t.Log("the history was not checked to the end")
	}
}
