// Package membership keeps a table of the fleet's processes, spread between
// them by periodic exchange. The table is a hint: a wrong entry costs a probe,
// never correctness.
package membership

// Role says what a process does.
type Role string

// The roles of processes.
const (
	RoleRouter Role = "router"
	RoleAgent  Role = "agent"
)

// State is a member's state as others see it.
type State uint8

// The states of a member, in the order in which they override each other
// within one incarnation.
const (
	StateAlive State = iota
	StateSuspect
	StateLeaving
	StateDead
)

// Member is one process of the fleet.
type Member struct {
	// Process is the process's name, unique in the fleet.
	Process string
	// Address is its inner address, an IP number and port.
	Address string
	// GossipAddress is where it takes the datagrams of this package.
	GossipAddress string
	Role          Role
	Zone          string
	Region        string
	// Incarnation grows with each start of the process. A higher one overrides any state.
	Incarnation uint64
	State       State
	// Revision is the configuration revision that the process last reported.
	Revision uint64
}

// View is read access to the table, safe for concurrent use.
type View interface {
	// Self returns the process's own entry.
	Self() Member
	// Members returns all members but dead ones, the process itself included, ordered by Process.
	Members() []Member
	// Changed returns a channel that is closed at the next change of the table.
	Changed() <-chan struct{}
}
