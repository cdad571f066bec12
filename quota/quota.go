// Package quota keeps each customer within its rate and burst across all
// routers without a central counter.
//
// A customer's limit is divided into shares, one for each of a few slots. A
// share is a token bucket kept by the process that holds the slot. A pool
// serves one group of customers in one region. It borrows tokens from the
// shares for a short term (a loan) and grants them to the routers of its region
// for a shorter term (a grant). Tokens are moved and never copied: lent tokens
// are missing from the share and count against its burst until they are
// returned or their term ends. Any number of pools may therefore be active at
// once, and a lost message or process costs tokens but never admits more than
// the limit.
//
// A borrower counts a term on its own monotonic clock from the moment it sent
// the request, less an allowance for drift. The lender counts it from the
// moment it replied.
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
	// Groups is the number of groups into which customers are divided. All
	// customers of a group have their shares in the same slots.
	Groups = 1024
	// MaxShares is the largest number of slots among which a customer's limit is divided.
	MaxShares = 3

	// MaxLentFraction is the fraction of a share's burst that may be on loan at once. A
	// restarted holder does not know the loans of its previous incarnation and
	// may gain and lend the rest during their term. A single request may cost
	// no more than this fraction of the burst.
	MaxLentFraction = 0.8

	// DefaultLoanTerm is how long a pool may hold tokens of a share.
	DefaultLoanTerm = time.Second
	// DefaultGrantTerm is how long a router may hold tokens of a pool that it
	// requested in advance.
	DefaultGrantTerm = 400 * time.Millisecond
	// spendTerm is the term of tokens that are granted for waiting requests
	// (immediate tokens).
	spendTerm = 250 * time.Millisecond
	// DefaultMaxWait bounds how long a request waits for tokens while pools
	// reply. While none does, maxPoolWait applies.
	DefaultMaxWait = 500 * time.Millisecond
	// DefaultSlotGrowthDelay is the time after a change of the number of slots
	// during which no slot's fraction of the limits increases.
	DefaultSlotGrowthDelay = 30 * time.Second

	// driftAllowance is the fraction of a term that allows for clocks of
	// different speed.
	driftAllowance = 0.025
)

// CustomerID identifies a customer in messages.
type CustomerID uint64

// CustomerIDOf returns the id of the customer with the given name.
func CustomerIDOf(name string) CustomerID {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return CustomerID(mixBits(h.Sum64()))
}

// Group returns the group of a customer.
func (c CustomerID) Group() int { return int(uint64(c) % Groups) }

// Limit is the rate and burst of a customer.
type Limit struct {
	// Rate is in tokens per second.
	Rate float64
	// Burst is in tokens.
	Burst float64
}

// SlotsOf returns the slots that hold the shares of a group, chosen from the
// given number of slots by rendezvous hashing. There are at most MaxShares.
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

// rendezvousScore returns the score of a router for a group in rendezvous
// hashing.
func rendezvousScore(group int, address string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(strconv.Itoa(group) + "/" + address))
	return mixBits(h.Sum64())
}

// mixBits returns a hash of x, so that similar inputs get unrelated results.
func mixBits(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return bits.RotateLeft64(x^x>>31, 17)
}

// borrowerTerm returns the part of a term that the borrower may rely on.
func borrowerTerm(term time.Duration) time.Duration {
	return term - time.Duration(float64(term)*driftAllowance)
}
