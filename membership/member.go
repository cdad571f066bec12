// Package membership maintains a table of the fleet's processes with a
// SWIM-style gossip protocol over UDP: each process probes one member per
// interval and piggybacks recent changes on its datagrams. The table is a hint:
// a wrong entry costs a wasted probe but never affects correctness.
package membership

// Role is the function of a process in the fleet.
type Role string

// The roles of processes.
const (
	RoleRouter Role = "router"
	RoleAgent  Role = "agent"
)

// State is a member's state as seen by other members.
type State uint8

// The states of a member. Within one incarnation a later state overrides an
// earlier one.
const (
	StateAlive State = iota
	StateSuspect
	StateLeaving
	StateDead
)

// Member is one process of the fleet.
type Member struct {
	// Process is the name of the process, unique in the fleet.
	Process string
	// Address is the IP address and port on which the process serves its peers.
	Address string
	// GossipAddress is the address on which the process receives membership datagrams.
	GossipAddress string
	Role          Role
	Zone          string
	Region        string
	// Incarnation increases with each start of the process. A higher incarnation
	// overrides any state of a lower one.
	Incarnation uint64
	State       State
	// Revision is the configuration revision last reported by the process.
	Revision uint64
}

// View gives read access to the membership table. It is safe for concurrent use.
type View interface {
	// Self returns the process's own entry.
	Self() Member
	// Members returns all members that are not dead, including the process itself,
	// ordered by Process.
	Members() []Member
	// Changed returns a channel that is closed when the table next changes. A new
	// Revision of a member alone does not close it.
	Changed() <-chan struct{}
}
