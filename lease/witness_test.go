package lease

import "testing"

// TestWitnessHoldsOnToClaims checks that a slot that its holder resumed without
// the store is not given to another whose wait the claim has not ended.
func TestWitnessHoldsOnToClaims(t *testing.T) {
	const slot = 3
	former := Record{Index: slot, Address: "10.0.0.1:7600", Incarnation: 1, Epoch: 4}
	claim := Record{Index: slot, Address: "10.0.0.1:7600", Incarnation: 2, Epoch: 5}
	tests := []struct {
		name string
		next Record
		want bool
	}{
		{"a reclaim that did not see the claim, though of a higher epoch", Record{Index: slot, Address: "10.0.0.2:7600", Incarnation: 9, Epoch: 8}, false},
		{"a reclaim that waited for the claim's end", Record{Index: slot, Address: "10.0.0.2:7600", Incarnation: 9, Epoch: 8, EndedIncarnations: []uint64{2}}, true},
		{"the next life of the same address", Record{Index: slot, Address: "10.0.0.1:7600", Incarnation: 3, Epoch: 6}, true},
		{"an older epoch of the same address", Record{Index: slot, Address: "10.0.0.1:7600", Incarnation: 3, Epoch: 5}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			witness := NewWitness()
			witness.Handle(WitnessRequest{Set: 1, Records: []Record{former}})
			reply := witness.Handle(WitnessRequest{Set: 1, Claim: true, Records: []Record{claim}})
			if !reply.has(claim) {
				t.Fatal("the claim was refused")
			}
			reply = witness.Handle(WitnessRequest{Set: 1, Records: []Record{test.next}})
			if reply.has(test.next) != test.want {
				t.Fatalf("remembers %+v", reply.Records)
			}
		})
	}
}
