package publish

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"
)

// changedCustomers are the names of the Customer objects that TestRandomFaults
// changes.
var changedCustomers = []string{"pilots", "clerks"}

// historyInput is one operation on one Customer object: a read, or a change of
// its rate on the condition that its digest is still base.
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

// registerModel returns the model that the history must conform to: for each
// customer a register with conditional updates, whose state is the digest of the
// Customer object. initial has the digests at the start by customer.
func registerModel(initial map[string]string) porcupine.Model {
	return porcupine.Model{
		Partition: partitionByCustomer,
		Init:      func() any { return "" },
		Step: func(state, input, output any) (bool, any) {
			in, out := input.(historyInput), output.(historyOutput)
			current := state.(string)
			if current == "" {
				current = initial[in.customer]
			}
			return stepRegister(current, in, out)
		},
		DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v -> %+v", input, output) },
	}
}

// stepRegister reports whether the operation is legal in a register with digest
// current, and returns the digest after it.
func stepRegister(current string, in historyInput, out historyOutput) (bool, any) {
	newDigest := rateDigest(in.customer, in.rate)
	switch {
	case in.read:
		return out.digest == current, current
	case out.outcome == OutcomeAccepted:
		return in.base == current, newDigest
	case out.outcome == OutcomeUnchanged:
		return newDigest == current, current
	case out.outcome == OutcomeConflict:
		return in.base != current && newDigest != current, current
	case out.outcome == OutcomeUnknown && in.base == current:
		return true, newDigest
	default:
		return true, current
	}
}

func partitionByCustomer(history []porcupine.Operation) [][]porcupine.Operation {
	byCustomer := make(map[string][]porcupine.Operation)
	for _, operation := range history {
		customer := operation.Input.(historyInput).customer
		byCustomer[customer] = append(byCustomer[customer], operation)
	}
	var partitions [][]porcupine.Operation
	for _, operations := range byCustomer {
		partitions = append(partitions, operations)
	}
	return partitions
}

// rateDigest returns the digest of a Customer object with the given rate.
func rateDigest(name string, rate int) string {
	return Digest(canonicalCustomer(name, rate))
}

func canonicalCustomer(name string, rate int) []byte {
	change, _ := toRecordChange(customerChange(name, rate, ""), "Customer/"+name)
	return change.Value
}

// publishRandom starts a change of a random customer's rate through a random
// router, based on the object in the current configuration of that router.
func (s *soak) publishRandom() {
	p := s.fleet.process(s.pick(s.routers))
	name := s.pick(changedCustomers)
	current, ok := p.manager.Snapshot().Get("Customer/" + name)
	if !ok {
		return
	}
	in := historyInput{customer: name, base: Digest(current), rate: 1000 + s.random.IntN(1_000_000)}
	client := s.clientID()
	s.tasks.Go(func() {
		callTime := s.elapsedNanos()
		result := p.publisher.Publish(s.t.Context(), Request{Changes: []Change{customerChange(name, in.rate, in.base)}})
		s.recordOperation(in, historyOutput{outcome: result.Outcome}, client, callTime)
		if result.Outcome == OutcomeAccepted {
			s.recordAccepted(acceptedPublication{result.Revision, result.Nonce, time.Now()})
		}
	})
}

// readRandom starts a read of a random customer's object. It reads the head from
// the store and does not use the current configuration of the router.
func (s *soak) readRandom() {
	p := s.fleet.process(s.pick(s.routers))
	name := s.pick(changedCustomers)
	client := s.clientID()
	s.tasks.Go(func() {
		callTime := s.elapsedNanos()
		state, err := p.manager.Repository().Head(s.t.Context())
		if err != nil {
			return
		}
		loaded, err := p.manager.Repository().Load(s.t.Context(), state, p.manager.Snapshot())
		if err != nil {
			return
		}
		value, _ := loaded.Get("Customer/" + name)
		s.recordOperation(historyInput{customer: name, read: true}, historyOutput{digest: Digest(value)}, client, callTime)
	})
}

// clientID returns a client ID for porcupine. Concurrent operations may share it.
func (s *soak) clientID() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.operations)
}

// elapsedNanos returns the time since the start of the run in nanoseconds.
func (s *soak) elapsedNanos() int64 { return int64(time.Since(s.startTime)) }

// recordOperation adds an operation to the history. An operation with an unknown
// outcome never returns, since it may take effect at any later time.
func (s *soak) recordOperation(in historyInput, out historyOutput, client int, callTime int64) {
	returnTime := s.elapsedNanos()
	if out.outcome == OutcomeUnknown {
		returnTime = int64(1) << 62
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.operations = append(s.operations, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: callTime, Return: returnTime})
}

func (s *soak) recordAccepted(a acceptedPublication) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acceptedPublications = append(s.acceptedPublications, a)
}

// checkHistory asserts that publications and reads are linearizable. If the check
// does not finish in time, it only logs that.
func (s *soak) checkHistory() {
	initial := make(map[string]string)
	for _, change := range demoChanges(s.t) {
		recordChange, _ := toRecordChange(change, "")
		initial[change.Name] = Digest(recordChange.Value)
	}
	outcomes := make(map[Outcome]int)
	for _, operation := range s.operations {
		outcomes[operation.Output.(historyOutput).outcome]++
	}
	s.t.Logf("history has %d operations with outcomes %v", len(s.operations), outcomes)
	switch porcupine.CheckOperationsTimeout(registerModel(initial), s.operations, linearizabilityCheckTimeout) {
	case porcupine.Illegal:
		s.t.Fatalf("history is not linearizable: %+v", s.operations)
	case porcupine.Unknown:
		s.t.Log("the linearizability check did not finish in time")
	}
}
