package configsync

import (
	"sort"

	"github.com/greengagegate/greengagegate/internal/object"
	"github.com/greengagegate/greengagegate/snapshot"
)

// configure decodes and checks a snapshot, sharing what it has in common with
// the former configuration.
func configure(former *configuration, s *snapshot.Snapshot) (*configuration, error) {
	set, err := object.Update(former.set, former.snapshot, s)
	if err != nil {
		return nil, err
	}
	return &configuration{snapshot: s, hash: s.Hash(), set: set, witnesses: witnesses(set)}, nil
}

// witnessLimit bounds the number of witnesses, which is odd.
const witnessLimit = 31

// witnesses returns the addresses of the agents whose majority states that a
// revision is the newest, in order: a fixed choice among the agents that the set
// names without those that leave, so that every holder of the set derives the same.
func witnesses(set *object.Set) []string {
	addresses := make([]string, 0, len(set.Upstreams))
	for _, upstream := range set.Upstreams {
		if !upstream.Leaving {
			addresses = append(addresses, upstream.Address)
		}
	}
	sort.Slice(addresses, func(i, j int) bool { return place(addresses[i]) < place(addresses[j]) })
	count := min(len(addresses), witnessLimit)
	if count > 0 && count%2 == 0 {
		count--
	}
	addresses = addresses[:count]
	sort.Strings(addresses)
	return addresses
}

// majority is the number of witnesses without which the others are none.
func majority(witnesses int) int {
	if witnesses == 0 {
		return 0
	}
	return witnesses/2 + 1
}
