// Package membership maintains a table of the fleet's processes with a
// SWIM-style gossip protocol over UDP: each process probes one member per
// interval and piggybacks recent changes on its datagrams. The table may be
// wrong or late. Its users must stay correct then and may only lose time, for example
// by calling a process that has stopped.
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

// The states of a member. Within one incarnation, a state overrides those that
// precede it in this list.
const (
	// StateAlive is the state of a member at its start and after it refutes a suspicion.
	StateAlive State = iota
	// StateSuspect is the state of a member that did not answer a probe.
	StateSuspect
	// StateLeaving is the state of a member that has announced that it leaves.
	StateLeaving
	// StateDead is the state of a member that another member has declared dead.
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
	// Incarnation is set at the start of the process, normally to a higher number than
	// at the previous start. The process raises it when it refutes an entry about
	// itself. A higher incarnation overrides any state of a lower one.
	Incarnation uint64
	State       State
	// Revision is the highest configuration revision that the process has reported,
	// also before a restart.
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
