package configsync

import (
	"hash/fnv"
	"math/bits"
	"sort"

	"github.com/greengagegate/greengagegate/membership"
)

// treeFanout is the number of peers that hear of evidence from one process.
const treeFanout = 4

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
	for shift := 63; shift >= 64-distances(len(ring)); shift-- {
		found = addNeighbour(found, seen, ring, own+1<<shift)
	}
	return addNeighbour(found, seen, ring, own+1)
}

// distances is how many distances, each half of the one before, reach distinct
// members as a rule.
func distances(members int) int { return bits.Len(uint(members)) }

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

// zoneTree returns the live members of a zone in ring order. The first watches
// the store for the zone; member i hears of evidence from member (i-1)/treeFanout.
func zoneTree(members []membership.Member, self membership.Member, zone string) []point {
	var tree []point
	for _, member := range members {
		alive := member.State == membership.StateAlive || member.Process == self.Process
		if member.Zone == zone && alive {
			tree = append(tree, point{place(member.Process), member.Address})
		}
	}
	sort.Slice(tree, func(i, j int) bool { return tree[i].place < tree[j].place })
	return tree
}

// watches reports whether this process watches the store for its zone.
func (m *Manager) watches() bool {
	self := m.options.View.Self()
	tree := zoneTree(m.options.View.Members(), self, self.Zone)
	return len(tree) == 0 || tree[0].place == place(self.Process)
}

// parent returns the peer from which this process hears of evidence, or none.
// For the process that watches for its zone it is the one of the next zone.
func (m *Manager) parent() []string {
	self := m.options.View.Self()
	members := m.options.View.Members()
	tree := zoneTree(members, self, self.Zone)
	own := place(self.Process)
	i := sort.Search(len(tree), func(i int) bool { return tree[i].place >= own })
	if i > 0 && i < len(tree) {
		return []string{tree[(i-1)/treeFanout].address}
	}
	next := nextZone(members, self.Zone)
	if next == self.Zone {
		return nil
	}
	if tree = zoneTree(members, self, next); len(tree) == 0 {
		return nil
	}
	return []string{tree[0].address}
}

// nextZone returns the zone that follows in name order, the first after the last.
func nextZone(members []membership.Member, zone string) string {
	first, next := zone, ""
	for _, member := range members {
		first = min(first, member.Zone)
		if member.Zone > zone && (next == "" || member.Zone < next) {
			next = member.Zone
		}
	}
	if next == "" {
		return first
	}
	return next
}
