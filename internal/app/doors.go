package app

import (
	"math"
	"syscall"

	"github.com/greengagegate/greengagegate/internal/node"
	"github.com/greengagegate/greengagegate/internal/wire"
)

const (
	// receivedFraction is the fraction of the memory that peers' streams may take with what they
	// have received and their handlers have not taken.
	receivedFraction = 0.125
	// peerFDFraction is the fraction of the descriptors that connections of peers may take.
	peerFDFraction = 0.125
	// minPeerSessions is the least number of peers' connections.
	minPeerSessions = 16
)

// peerLimits returns the bounds on what peers may hold.
func (m *Memory) peerLimits(inner node.Inner) wire.Limits {
	limits := wire.DefaultLimits()
	limits.Sessions = max(minPeerSessions, min(limits.Sessions, int(peerFDFraction*float64(descriptorLimit()))))
	if inner.MaxSessions > 0 {
		limits.Sessions = inner.MaxSessions
	}
	if m.LimitMB > 0 {
		limits.ReceivedBytes = int64(receivedFraction * float64(m.LimitMB*megabyte))
	}
	return limits
}

// descriptorLimit returns the number of descriptors that the process may use.
func descriptorLimit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return math.MaxInt32
	}
	return int(limit.Cur)
}
