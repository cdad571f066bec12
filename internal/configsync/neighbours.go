package configsync

import (
	"hash/fnv"
	"math/bits"
	"sort"

	"github.com/greengagegate/greengagegate/membership"
)

// point is a member's place on a ring of 64-bit numbers.
type point struct {
	place   uint64
	address string
}

func place(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	// Mixing spreads names that differ in their last bytes only.
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

// neighbours returns the addresses that this process pushes to and compares
// with: on a ring of all members, the next one and those half, a quarter, an
// eighth... of the ring ahead. They number about log2 of the members, connect
// all members in as many steps, and change little when members come and go.
func (m *Manager) neighbours() []string {
	self := m.options.View.Self()
	ring := makeRing(m.options.View.Members(), self)
	if len(ring) == 0 {
		return nil
	}
	own := place(self.Process)
	seen := make(map[string]bool)
	var found []string
	for shift := 63; shift >= 64-fingers(len(ring)); shift-- {
		found = addNeighbour(found, seen, ring, own+1<<shift)
	}
	return addNeighbour(found, seen, ring, own+1)
}

// fingers is the number of distances that reach distinct members as a rule.
func fingers(members int) int { return bits.Len(uint(members)) }

func addNeighbour(found []string, seen map[string]bool, ring []point, from uint64) []string {
	i := sort.Search(len(ring), func(i int) bool { return ring[i].place >= from })
	address := ring[i%len(ring)].address
	if seen[address] {
		return found
	}
	seen[address] = true
	return append(found, address)
}

// makeRing returns the other members that are not known dead, in ring order.
func makeRing(members []membership.Member, self membership.Member) []point {
	ring := make([]point, 0, len(members))
	for _, member := range members {
		if member.Process == self.Process || member.Address == "" || member.State == membership.StateDead {
			continue
		}
		ring = append(ring, point{place(member.Process), member.Address})
	}
	sort.Slice(ring, func(i, j int) bool { return ring[i].place < ring[j].place })
	return ring
}

// pick returns one random address of those given, or none.
func (m *Manager) pick(addresses []string) []string {
	if len(addresses) == 0 {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	i := m.random.IntN(len(addresses))
	return addresses[i : i+1]
}

// startAddresses returns some random members and seeds to ask at the start.
func (m *Manager) startAddresses() []string {
	self := m.options.View.Self()
	known := append([]string(nil), m.options.Seeds...)
	for _, p := range makeRing(m.options.View.Members(), self) {
		known = append(known, p.address)
	}
	m.mu.Lock()
	m.random.Shuffle(len(known), func(i, j int) { known[i], known[j] = known[j], known[i] })
	m.mu.Unlock()
	seen := map[string]bool{self.Address: true}
	var chosen []string
	for _, address := range known {
		if !seen[address] && len(chosen) < startPeers {
			seen[address] = true
			chosen = append(chosen, address)
		}
	}
	return chosen
}

// watches reports whether this process is the one that watches the store for
// its zone: the zone's live member with the least place.
func (m *Manager) watches() bool {
	self := m.options.View.Self()
	own := place(self.Process)
	for _, member := range m.options.View.Members() {
		if member.Zone != self.Zone || member.State != membership.StateAlive || member.Process == self.Process {
			continue
		}
		if place(member.Process) < own {
			return false
		}
	}
	return true
}
