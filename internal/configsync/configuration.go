package configsync

import (
	"sort"

	"github.com/greengagegate/greengagegate/internal/object"
	"github.com/greengagegate/greengagegate/snapshot"
)

// newConfiguration decodes and checks a snapshot. Objects whose records did not
// change are shared with the previous configuration.
func newConfiguration(previous *configuration, s *snapshot.Snapshot) (*configuration, error) {
	set, err := object.Update(previous.set, previous.snapshot, s)
	if err != nil {
		return nil, err
	}
	return &configuration{snapshot: s, hash: s.Hash(), set: set, witnesses: selectWitnesses(set)}, nil
}

// maxWitnesses is the largest number of witnesses. The number of witnesses is always odd.
const maxWitnesses = 31

// selectWitnesses returns the sorted addresses of the witnesses, a majority of which
// can confirm that a revision is the newest. The witnesses are agents: the address of
// an upstream is that of its agent. Upstreams that are leaving are not selected. The
// choice depends on the set alone, so all processes with the same set select the same
// witnesses.
func selectWitnesses(set *object.Set) []string {
	addresses := make([]string, 0, len(set.Upstreams))
	for _, upstream := range set.Upstreams {
		if !upstream.Leaving {
			addresses = append(addresses, upstream.Address)
		}
	}
	sort.Slice(addresses, func(i, j int) bool { return ringPosition(addresses[i]) < ringPosition(addresses[j]) })
	count := min(len(addresses), maxWitnesses)
	if count > 0 && count%2 == 0 {
		count--
	}
	addresses = addresses[:count]
	sort.Strings(addresses)
	return addresses
}

// majority returns the smallest number of witnesses that is more than half of
// them, and 0 when there are no witnesses.
func majority(witnessCount int) int {
	if witnessCount == 0 {
		return 0
	}
	return witnessCount/2 + 1
}
