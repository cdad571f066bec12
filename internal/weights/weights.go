// Package weights rolls out model weights: it orders model engines to load the
// target version of their model. One gateway at a time gives orders. It holds a
// lease in the platform store, puts the lease's fencing token into each order,
// and measures the lease's term on a clock that keeps running while the host is
// suspended.
//
// Load pattern: a new version is published every few seconds. An engine needs one or two
// seconds to load it and serves no requests meanwhile, and more than a few simultaneous
// loads slow each other down. Engines therefore load in batches: while one batch loads,
// the engines of the next one complete their requests, and the other engines serve.
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

// Mode specifies what happens to running requests when an engine loads new weights.
type Mode string

const (
	// ModeFinish waits until the running requests have completed.
	ModeFinish Mode = "finish"
	// ModeReset aborts the running requests.
	ModeReset Mode = "reset"
	// ModeContinue continues the running requests with the new weights.
	ModeContinue Mode = "continue"
)

// Order is a command to an engine to load a version of a model's weights.
type Order struct {
	Upstream *catalog.Upstream
	Model    string
	Version  int64
	Mode     Mode
	// Holder is the name of the gateway that holds the lease.
	Holder string
	// FencingToken is the fencing token of the lease.
	FencingToken int64
	// ExpectedOrders is the number of orders that the engine must have accepted before
	// this one; the engine refuses the order otherwise.
	ExpectedOrders int64
}

// Result is an engine's answer to an order. If Order returns an error as well, the Result
// must be ignored.
type Result uint8

const (
	// Accepted means that the engine carries the order out.
	Accepted Result = iota
	// AlreadyLoaded means that the engine already has the version.
	AlreadyLoaded
	// Busy means that the engine is carrying out another order, or has accepted another
	// number of orders than expected. The engine gives the same answer in both cases.
	Busy
	// StaleToken means that the engine has received a newer fencing token.
	StaleToken
	// WrongUpstream means that the order reached an upstream other than the addressed
	// one, which no longer uses the address.
	WrongUpstream
	// Rejected means that the engine can't carry the order out.
	Rejected
)

// String returns the result's name in logs and metrics.
func (r Result) String() string {
	return [...]string{"accepted", "holds", "busy", "fenced", "gone", "rejected"}[r]
}

// Report is the state that an engine reports.
type Report struct {
	// Versions maps each model to the version of its weights.
	Versions map[string]int64
	// Busy reports whether the engine is carrying out an order.
	Busy bool
	// AcceptedOrders is the number of orders that this incarnation has accepted.
	AcceptedOrders int64
	// RequestCount is the number of running and queued requests.
	RequestCount int
	// StartedMillis is the start time of this incarnation and identifies it.
	StartedMillis int64
}

// Engines sends orders to engines and queries their state.
type Engines interface {
	// Order sends an order to its engine and returns the answer. After an error, the
	// engine may have accepted the order.
	Order(ctx context.Context, order *Order) (Result, error)
	// Report returns ErrIncarnationChanged when another incarnation answers.
	Report(ctx context.Context, upstream *catalog.Upstream) (Report, error)
}

// ErrOrdersNotPermitted reports that this process does not hold the orders lease, that
// the lease is about to expire, or that the wait after its acquisition is not over.
var ErrOrdersNotPermitted = errors.New("the orders lease does not permit this process to give orders now")

// ErrEngineDeclines reports that an engine is not called because it has stated that it is
// leaving or wants no requests for a time.
var ErrEngineDeclines = errors.New("the engine is leaving or wants no requests now")

// ErrIncarnationChanged reports that another incarnation of an engine answers at
// its address, so the one that was addressed has ended.
var ErrIncarnationChanged = errors.New("another incarnation answers at the engine's address")

// Candidate is an engine that can take an order.
type Candidate struct {
	Upstream *catalog.Upstream
	// Running is the number of requests that this process has at the engine.
	Running int
	// Version is the version that the engine has now.
	Version int64
}

// PoolState is the progress of a pool's rollout to a target version.
type PoolState struct {
	// Engines is the number of engines in the pool.
	Engines int
	// Ready is the number of engines that have the version. Updating is the number of
	// engines that are being updated to it: they wait until they are idle, wait for a
	// load slot or load the version.
	Ready    int
	Updating int
	// Running is the number of requests that this process has at ready engines,
	// RequestSlots the number of requests that these engines serve at once.
	Running      int
	RequestSlots int
	// TargetAge is the time since the version became known.
	TargetAge time.Duration
	// StalenessLimit is the TargetAge from which no engine may use older weights.
	StalenessLimit time.Duration
	Schedule       Schedule
}

// Schedule specifies when the engines load that are left in the initial phase of a rollout.
type Schedule uint8

const (
	// Prompt loads them early, and at once when the engines with the new version are busy.
	Prompt Schedule = iota
	// Late loads them as late as the staleness limit allows, whatever the load. Each load empties
	// a cache; in a surge, where the caches of all engines hardly suffice, prompts that would
	// have been read from them must be prefilled again just when the engines are busiest.
	Late
)

const (
	// concurrentBatches is the number of batches in progress at the same time: one loads
	// while the engines of the next one complete their requests.
	concurrentBatches = 2
	// initialShare is the fraction of a pool that loads a version in the initial phase of
	// its rollout. Requests prefer the engines with the new version, so the other engines
	// become idle. When the next version is published, these idle engines are the first to
	// load it, and need not wait for requests to complete.
	initialShare = 0.5
	// initialPhase is the fraction of the staleness limit after which the remaining
	// engines load too.
	initialPhase = 0.4
	// lateInitialPhase is the same fraction for the schedule Late. The rest of the limit is for
	// the remaining engines to load in batches.
	lateInitialPhase = 0.7
	// highUtilization is the fraction of the request slots of all ready engines that must be
	// in use for the remaining engines to load without waiting for the end of the initial
	// phase, still in batches. It is low because only the requests of this gateway, which is
	// one of many, are counted.
	highUtilization = 0.05
)

// LoadsToStart returns the number of engines to order now.
func (s PoolState) LoadsToStart() int {
	target := s.Engines
	if s.isInitial() {
		target = int(math.Ceil(initialShare * float64(s.Engines)))
	}
	return max(0, min(concurrentBatches*MaxConcurrentLoads(s.Engines)-s.Updating, target-s.Ready-s.Updating))
}

// isInitial reports whether only the first engines load.
func (s PoolState) isInitial() bool {
	if s.Schedule == Late {
		return s.TargetAge < time.Duration(lateInitialPhase*float64(s.StalenessLimit))
	}
	idle := s.RequestSlots == 0 || float64(s.Running) < highUtilization*float64(s.RequestSlots)
	return idle && s.TargetAge < time.Duration(initialPhase*float64(s.StalenessLimit))
}

// MaxConcurrentLoads returns how many engines of a pool may load at the same time.
func MaxConcurrentLoads(engines int) int { return max(1, (engines+batchesPerPool-1)/batchesPerPool) }

// batchesPerPool is the number of batches in which a pool loads a version.
const batchesPerPool = 6

// SelectBatch selects up to count engines for the next batch. It prefers engines with the
// oldest weights, since they serve the fewest requests; then zones with the fewest
// engines that have or are loading the new version, which newWeightsByZone counts, so
// that each zone gets engines with the new version; then the least busy engines. It adds
// the selected engines to newWeightsByZone.
func SelectBatch(candidates []Candidate, newWeightsByZone map[string]int, count int) []Candidate {
	remaining := append([]Candidate(nil), candidates...)
	var selected []Candidate
	for len(selected) < count && len(remaining) > 0 {
		sort.SliceStable(remaining, func(i, k int) bool {
			a, b := remaining[i], remaining[k]
			if a.Version != b.Version {
				return a.Version < b.Version
			}
			if newWeightsByZone[a.Upstream.Zone] != newWeightsByZone[b.Upstream.Zone] {
				return newWeightsByZone[a.Upstream.Zone] < newWeightsByZone[b.Upstream.Zone]
			}
			if a.Running != b.Running {
				return a.Running < b.Running
			}
			return a.Upstream.ID < b.Upstream.ID
		})
		selected = append(selected, remaining[0])
		newWeightsByZone[remaining[0].Upstream.Zone]++
		remaining = remaining[1:]
	}
	return selected
}

// holdDuration is how long an engine that is being updated gets no new requests, unless
// it reports the new version or its rollout fails earlier. The hold is not renewed, so it
// also ends after the holder has stopped; it is shorter than loadTimeout.
const holdDuration = 6 * time.Second

// updateExpiry returns when a hold or a RolloutUpdate that begins now expires.
func updateExpiry() bootclock.Instant { return bootclock.Now().Add(holdDuration) }
