package lease

import "testing"

// TestWitnessKeepsClaims guards against two holders of a slot. A holder resumes the
// slot without the store, and another host that has not seen this claim reclaims
// the slot with a higher epoch. The witness must keep the claim unless the
// reclaiming host waited for the end of the claiming incarnation.
func TestWitnessKeepsClaims(t *testing.T) {
	const slot = 3
	first := Record{Index: slot, Address: "10.0.0.1:7600", Incarnation: 1, Epoch: 4}
	claim := Record{Index: slot, Address: "10.0.0.1:7600", Incarnation: 2, Epoch: 5}
	tests := []struct {
		name string
		next Record
		want bool
	}{
		{"a reclaim with a higher epoch that did not see the claim", Record{Index: slot, Address: "10.0.0.2:7600", Incarnation: 9, Epoch: 8}, false},
		{"a reclaim that waited for the end of the claiming incarnation", Record{Index: slot, Address: "10.0.0.2:7600", Incarnation: 9, Epoch: 8, EndedIncarnations: []uint64{2}}, true},
		{"the next incarnation at the same address", Record{Index: slot, Address: "10.0.0.1:7600", Incarnation: 3, Epoch: 6}, true},
		{"an epoch of the same address that is not newer", Record{Index: slot, Address: "10.0.0.1:7600", Incarnation: 3, Epoch: 5}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			witness := NewWitness()
			witness.Handle(WitnessRequest{WitnessSet: 1, Records: []Record{first}})
			reply := witness.Handle(WitnessRequest{WitnessSet: 1, Claim: true, Records: []Record{claim}})
			if !reply.contains(claim) {
				t.Fatal("the claim was refused")
			}
			reply = witness.Handle(WitnessRequest{WitnessSet: 1, Records: []Record{test.next}})
			if reply.contains(test.next) != test.want {
				t.Fatalf("the witness has %+v after the next record", reply.Records)
			}
		})
	}
}
