package configsync

import (
	"hash/fnv"
	"math/bits"
	"sort"

	"github.com/greengagegate/greengagegate/membership"
)

// treeFanout is the maximum number of children of a process in the tree of its zone.
const treeFanout = 4

// ringMember is a member with its position on a ring of 64-bit numbers.
type ringMember struct {
	position uint64
	address  string
}

// ringPosition returns the position of a name on the ring, which is a hash of the name.
func ringPosition(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	// Without the mixing steps, names that differ only in their last bytes would
	// get close positions.
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

// neighbours returns the addresses that this process pushes to and compares with: on a
// ring of all members, the next member and the members half, a quarter, an eighth and
// so on of the ring ahead. There are about log2(n) neighbours of n members. A change
// reaches all members in about log2(n) steps, and few neighbours change when a member
// joins or leaves.
func (m *Manager) neighbours() []string {
	self := m.options.View.Self()
	ring := makeRing(m.options.View.Members(), self)
	if len(ring) == 0 {
		return nil
	}
	ownPosition := ringPosition(self.Process)
	seen := make(map[string]bool)
	var found []string
	for shift := 63; shift >= 64-neighbourDistances(len(ring)); shift-- {
		found = addNeighbour(found, seen, ring, ownPosition+1<<shift)
	}
	return addNeighbour(found, seen, ring, ownPosition+1)
}

// neighbourDistances returns how many distances are used to find neighbours. Each is
// half of the one before; shorter distances would rarely find further members.
func neighbourDistances(members int) int { return bits.Len(uint(members)) }

// addNeighbour appends the address of the first member at or after the position,
// unless seen has it already.
func addNeighbour(found []string, seen map[string]bool, ring []ringMember, position uint64) []string {
	i := sort.Search(len(ring), func(i int) bool { return ring[i].position >= position })
	address := ring[i%len(ring)].address
	if seen[address] {
		return found
	}
	seen[address] = true
	return append(found, address)
}

// makeRing returns all members except self in the order of their positions. Members
// that are known to be dead or have no address are left out.
func makeRing(members []membership.Member, self membership.Member) []ringMember {
	ring := make([]ringMember, 0, len(members))
	for _, member := range members {
		if member.Process == self.Process || member.Address == "" || member.State == membership.StateDead {
			continue
		}
		ring = append(ring, ringMember{ringPosition(member.Process), member.Address})
	}
	sort.Slice(ring, func(i, j int) bool { return ring[i].position < ring[j].position })
	return ring
}

// pickOne returns one random address of the given ones, or nil if there are none.
func (m *Manager) pickOne(addresses []string) []string {
	if len(addresses) == 0 {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	i := m.random.IntN(len(addresses))
	return addresses[i : i+1]
}

// selectStartPeers returns up to startPeerCount random addresses of members and
// seeds to ask during the start.
func (m *Manager) selectStartPeers() []string {
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
		if !seen[address] && len(chosen) < startPeerCount {
			seen[address] = true
			chosen = append(chosen, address)
		}
	}
	return chosen
}

// zoneTree returns the members of a zone whose state is alive, and this process
// whatever its state, if it is in the zone. They are in the order of their positions
// and form a tree: member 0 is the root and watches the store for the zone, and the parent of
// member i is member (i-1)/treeFanout.
func zoneTree(members []membership.Member, self membership.Member, zone string) []ringMember {
	var tree []ringMember
	for _, member := range members {
		alive := member.State == membership.StateAlive || member.Process == self.Process
		if member.Zone == zone && alive {
			tree = append(tree, ringMember{ringPosition(member.Process), member.Address})
		}
	}
	sort.Slice(tree, func(i, j int) bool { return tree[i].position < tree[j].position })
	return tree
}

// isZoneWatcher reports whether this process watches the store for its zone.
func (m *Manager) isZoneWatcher() bool {
	self := m.options.View.Self()
	tree := zoneTree(m.options.View.Members(), self, self.Zone)
	return len(tree) == 0 || tree[0].position == ringPosition(self.Process)
}

// parent returns a list with the address of the peer that this process regularly gets
// evidence from, or nil if there is none. The peer is the parent in the tree of the
// zone; for the zone watcher, it is the watcher of the next zone.
func (m *Manager) parent() []string {
	self := m.options.View.Self()
	members := m.options.View.Members()
	tree := zoneTree(members, self, self.Zone)
	ownPosition := ringPosition(self.Process)
	i := sort.Search(len(tree), func(i int) bool { return tree[i].position >= ownPosition })
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

// nextZone returns the zone that follows the given one in the order of names. The
// first zone follows the last.
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
