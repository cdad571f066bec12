// Package weights brings model engines to the weights that are wanted. One
// gateway at a time, the holder of a lease in the platform's store, gives the
// orders; it carries a fencing number and counts its term on a clock that does
// not stand still while the host is suspended.
//
// Load pattern: a version is named every few seconds, an engine needs a second
// or two to load it and serves nothing meanwhile, and loads slow each other down
// above a few at once. So engines follow in batches: while one batch loads, the
// next one finishes its requests, and the rest serve.
package weights

import (
	"context"
	"errors"
	"math"
	"sort"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/catalog"
)

// Mode says what happens to the requests that run when an engine takes new weights.
type Mode string

const (
	// ModeFinish lets them end first.
	ModeFinish Mode = "finish"
	// ModeReset breaks them off.
	ModeReset Mode = "reset"
	// ModeContinue lets them go on under the new weights.
	ModeContinue Mode = "continue"
)

// Order makes an engine load a version.
type Order struct {
	Upstream *catalog.Upstream
	Model    string
	Version  int64
	Mode     Mode
	Holder   string
	Fence    int64
	// Expected is the number of orders that the engine must have accepted so far.
	Expected int64
}

// Result is an engine's answer to an order.
type Result uint8

const (
	// Accepted means that the order is being carried out.
	Accepted Result = iota
	// AlreadyLoaded means that the engine already has the version.
	AlreadyLoaded
	// Busy means that another order is under way, or another number of orders was accepted.
	Busy
	// Fenced means that the engine has seen a newer fencing number.
	Fenced
	// WrongUpstream means that another upstream has the address.
	WrongUpstream
	// Rejected means that the order can't be carried out.
	Rejected
)

// String returns the result's name in logs.
func (r Result) String() string {
	return [...]string{"accepted", "holds", "busy", "fenced", "gone", "rejected"}[r]
}

// Report is an engine's state.
type Report struct {
	Versions map[string]int64
	Busy     bool
	// Orders is the number of orders that were accepted in this life.
	Orders int64
	// Running is the number of requests that run or wait.
	Running int
	// StartedMillis tells lives apart.
	StartedMillis int64
}

// Engines gives orders to engines and asks for their state.
type Engines interface {
	Order(ctx context.Context, order *Order) (Result, error)
	Report(ctx context.Context, upstream *catalog.Upstream) (Report, error)
}

// ErrNotHolder says that this process may not give orders now.
var ErrNotHolder = errors.New("the orders lease is not held")

// ErrIncarnationChanged says that the engine that was meant has ended, and another life of
// it answers.
var ErrIncarnationChanged = errors.New("another life of the engine answers")

// Candidate is an engine that may be ordered.
type Candidate struct {
	Upstream *catalog.Upstream
	Running  int
	// Version is what it has now.
	Version int64
}

// PoolState is how far a pool is on its way to a version.
type PoolState struct {
	// Engines is the number of engines in the pool.
	Engines int
	// Ready have the version, Loading are on their way to it.
	Ready   int
	Loading int
	// Running and Slots are the requests and the places of those that are ready.
	Running int
	Slots   int
	// Age is the time since the version became known.
	Age time.Duration
	// Limit is the age at which no engine may have older weights.
	Limit time.Duration
}

const (
	// batchesAtOnce is the number of batches that are on their way at the same time:
	// one that loads, and one whose requests end.
	batchesAtOnce = 2
	// servingPart is the part of a pool that takes a new version at once. The rest
	// serves nothing then, and is the first to take the next version, without
	// requests that it would have to finish.
	servingPart = 0.5
	// restAfter is the part of the limit after which the rest follows.
	restAfter = 0.4
	// crowded is the part of the places in use, as one gateway sees it, above which
	// the rest follows at once.
	crowded = 0.05
)

// LoadsToStart returns the number of engines to order now.
func (s PoolState) LoadsToStart() int {
	target := s.Engines
	early := s.Age < time.Duration(restAfter*float64(s.Limit))
	idle := s.Slots == 0 || float64(s.Running) < crowded*float64(s.Slots)
	if early && idle {
		target = int(math.Ceil(servingPart * float64(s.Engines)))
	}
	return max(0, min(batchesAtOnce*MaxConcurrentLoads(s.Engines)-s.Loading, target-s.Ready-s.Loading))
}

// MaxConcurrentLoads is the number of engines of a pool that load at the same time.
func MaxConcurrentLoads(engines int) int { return max(1, (engines+batchParts-1)/batchParts) }

// batchParts is the number of batches in which a pool takes new weights.
const batchParts = 6

// SelectBatch picks up to count engines for the next batch: those with the oldest weights
// first, since they serve least; then zones in turn, so that each zone has engines
// with the new version; then the least busy.
func SelectBatch(candidates []Candidate, perZone map[string]int, count int) []Candidate {
	left := append([]Candidate(nil), candidates...)
	var picked []Candidate
	for len(picked) < count && len(left) > 0 {
		sort.SliceStable(left, func(i, k int) bool {
			a, b := left[i], left[k]
			if a.Version != b.Version {
				return a.Version < b.Version
			}
			if perZone[a.Upstream.Zone] != perZone[b.Upstream.Zone] {
				return perZone[a.Upstream.Zone] < perZone[b.Upstream.Zone]
			}
			if a.Running != b.Running {
				return a.Running < b.Running
			}
			return a.Upstream.ID < b.Upstream.ID
		})
		picked = append(picked, left[0])
		perZone[left[0].Upstream.Zone]++
		left = left[1:]
	}
	return picked
}

// holdFor is how long new requests are kept away from an engine with an order,
// unless its new version is seen before.
const holdFor = 6 * time.Second

func holdUntil() bootclock.Instant { return bootclock.Now().Add(holdFor) }
