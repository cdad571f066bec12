// Package quota keeps each customer within its rate and burst over all routers
// together, without a central counter.
//
// A customer's limit is divided in shares, one for each of a few entry slots. A
// share is a token bucket that lives with the holder of the slot. A pool, one
// for each region and group of customers, borrows tokens from the shares for a
// short term (a loan) and grants them to the routers of its region for a
// shorter one (a grant). Tokens are moved, never copied: what is lent is missing
// from the share until it is returned or its term is over, and counts against
// the share's burst until then. So any number of pools may be at work at once,
// and a lost message or process costs tokens but never admits too many.
//
// Terms count on the borrower's own monotonic clock from the moment it asked,
// less an allowance for drift; the lender counts from the moment it answered.
package quota

import (
	"cmp"
	"hash/fnv"
	"math/bits"
	"slices"
	"strconv"
	"time"
)

const (
	// Groups is the number of groups that customers are divided in. A group's
	// customers have their shares in the same slots.
	Groups = 1024
	// MaxShares is the largest number of slots among which a customer's limit is divided.
	MaxShares = 3

	// MaxLent is the part of a share's burst that may be out on loan at once. The
	// rest is what a restarted holder, which does not know its former life's
	// loans, may gain and lend during their term. A single request may cost no
	// more than this part of the burst.
	MaxLent = 0.8

	// DefaultLoanTerm is how long a pool may hold tokens of a share.
	DefaultLoanTerm = time.Second
	// DefaultGrantTerm is how long a router may hold tokens of a pool that it
	// asked for ahead of requests.
	DefaultGrantTerm = 400 * time.Millisecond
	// spendTerm is how soon a router must spend the tokens that it wanted for a
	// waiting request.
	spendTerm = 250 * time.Millisecond
	// DefaultMaxWait is how long a request waits for tokens.
	DefaultMaxWait = 500 * time.Millisecond
	// DefaultLayoutDelay is how long a changed number of slots waits before any share grows.
	DefaultLayoutDelay = 30 * time.Second

	// driftAllowance is the part of a term that covers clocks of different speed.
	driftAllowance = 0.025
)

// CustomerID identifies a customer in messages.
type CustomerID uint64

// IDOf returns the id of the customer with this name.
func IDOf(name string) CustomerID {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return CustomerID(mixBits(h.Sum64()))
}

// Group returns the group of a customer.
func (c CustomerID) Group() int { return int(uint64(c) % Groups) }

// Limit is what a customer may spend.
type Limit struct {
	// Rate is in tokens a second.
	Rate float64
	// Burst is in tokens.
	Burst float64
}

// SlotsOf returns the slots, out of the given number, that hold the shares of a group.
func SlotsOf(group, slots int) []int {
	chosen := make([]int, 0, MaxShares+1)
	scores := make([]uint64, 0, MaxShares+1)
	for slot := range slots {
		score := mixBits(uint64(group)<<32 | uint64(slot+1))
		rank, _ := slices.BinarySearchFunc(scores, score, func(a, b uint64) int { return cmp.Compare(b, a) })
		if rank == MaxShares {
			continue
		}
		scores = slices.Insert(scores, rank, score)
		chosen = slices.Insert(chosen, rank, slot)
		if len(chosen) > MaxShares {
			scores = scores[:MaxShares]
			chosen = chosen[:MaxShares]
		}
	}
	return chosen
}

// poolScore orders routers for the pool of a group.
func rendezvousScore(group int, address string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(strconv.Itoa(group) + "/" + address))
	return mixBits(h.Sum64())
}

// mix spreads the bits of x.
func mixBits(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return bits.RotateLeft64(x^x>>31, 17)
}

// ownTerm is the part of a term that its borrower may rely on.
func borrowerTerm(term time.Duration) time.Duration {
	return term - time.Duration(float64(term)*driftAllowance)
}
