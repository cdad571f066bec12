package app

import (
	"errors"
	"math"
	"runtime/debug"

	"github.com/greengagegate/greengagegate/internal/intake"
	"golang.org/x/sys/unix"
)

// Memory holds the settings for the memory of the process.
type Memory struct {
	// LimitMB is the memory that the process may use, in units of 1,000,000 bytes; 0
	// means no limit.
	LimitMB int64 `ini:"limit_mb"`
	// MaxFDs is the number of descriptors that the process may use; 0 means its resource limit.
	MaxFDs int `ini:"max_fds"`
	// MaxConnections is the number of callers' connections that are open at once; 0 means as many
	// as LimitMB and MaxFDs allow.
	MaxConnections int `ini:"max_connections"`
}

// Validate implements settings.Validator.
func (m *Memory) Validate() (string, error) {
	switch {
	case m.LimitMB < 0:
		return "limit_mb", errors.New("must not be negative")
	case m.MaxFDs < 0:
		return "max_fds", errors.New("must not be negative")
	case m.MaxConnections < 0:
		return "max_connections", errors.New("must not be negative")
	}
	return "", nil
}

const (
	megabyte = 1_000_000
	// heapFraction is the fraction of the memory that the Go runtime may use. The rest
	// is for the program image and for unread data in kernel buffers.
	heapFraction = 0.65
	// bodyFraction is the fraction of the memory that bodies of requests and of responses
	// may take.
	bodyFraction = 0.25
	// unfinishedFraction is the fraction of the bodies' memory that unfinished bodies of requests
	// may take. The rest is free for requests that are whole.
	unfinishedFraction = 0.5
	// headFraction is the fraction of the memory that heads of requests may take.
	headFraction = 0.08
	// connectionFraction is the fraction of the memory that connections of callers may take
	// beside what they have received, and connectionBytes what each takes: the stack of its
	// goroutine and the buffers of the HTTP server.
	connectionFraction = 0.28
	connectionBytes    = 20_000
	// reservedFDs is the number of descriptors for files, the store, other gateways, readiness
	// checks and the administration. Callers get half of the rest, since each of their requests
	// takes a connection to an upstream.
	reservedFDs = 400
	// minConnections is the least number of callers' connections.
	minConnections = 16
	// defaultHeadBytes bounds heads when LimitMB is 0.
	defaultHeadBytes = 256 << 20
	// defaultMaxBufferedBytes bounds these bodies when LimitMB is 0.
	defaultMaxBufferedBytes = 1 << 30
)

// apply bounds the memory of the Go runtime to a part of LimitMB.
func (m *Memory) apply() {
	if m.LimitMB > 0 {
		debug.SetMemoryLimit(int64(float64(m.LimitMB*megabyte) * heapFraction))
	}
}

// maxBufferedBytes returns the number of bytes of bodies that may be held at once.
func (m *Memory) maxBufferedBytes() int64 {
	if m.LimitMB <= 0 {
		return defaultMaxBufferedBytes
	}
	return int64(float64(m.LimitMB*megabyte) * bodyFraction)
}

// callerLimits returns the bounds on what callers' connections take before their requests are known.
func (m *Memory) callerLimits() intake.Limits {
	limits := intake.Limits{
		Connections: m.maxConnections(),
		HeadBytes:   defaultHeadBytes,
		BodyBytes:   int64(unfinishedFraction * float64(m.maxBufferedBytes())),
	}
	if m.LimitMB > 0 {
		limits.HeadBytes = int64(headFraction * float64(m.LimitMB*megabyte))
	}
	return limits
}

func (m *Memory) maxConnections() int {
	if m.MaxConnections > 0 {
		return m.MaxConnections
	}
	connections := (m.maxFDs() - reservedFDs) / 2
	if m.LimitMB > 0 {
		connections = min(connections, int(connectionFraction*float64(m.LimitMB*megabyte)/connectionBytes))
	}
	return max(connections, minConnections)
}

// maxFDs returns the number of descriptors that the process may use.
func (m *Memory) maxFDs() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		limit.Cur = math.MaxInt32
	}
	if m.MaxFDs > 0 {
		return min(m.MaxFDs, int(limit.Cur))
	}
	return int(limit.Cur)
}
