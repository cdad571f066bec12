package configsync

import (
	"sort"

	"github.com/greengagegate/greengagegate/internal/object"
	"github.com/greengagegate/greengagegate/snapshot"
)

// configure decodes and checks a snapshot.
func configure(s *snapshot.Snapshot) (*configuration, error) {
	set, err := object.FromSnapshot(s)
	if err != nil {
		return nil, err
	}
	return &configuration{snapshot: s, hash: s.Hash(), set: set, agents: agentAddresses(set)}, nil
}

// agentAddresses returns the addresses of the agents that the set names, in
// order, without those that leave. Every process that holds the set derives the
// same list.
func agentAddresses(set *object.Set) []string {
	addresses := make([]string, 0, len(set.Upstreams))
	for _, upstream := range set.Upstreams {
		if !upstream.Leaving {
			addresses = append(addresses, upstream.Address)
		}
	}
	sort.Strings(addresses)
	return addresses
}

// majority is the number of agents without which no other half is a majority.
func majority(agents int) int {
	if agents == 0 {
		return 0
	}
	return agents/2 + 1
}
