package placement

import "math/bits"

// mixMultiplier is 2^64 divided by the golden ratio and rounded to an odd number, the
// usual multiplier of multiplicative (Fibonacci) hashing.
const mixMultiplier = 0x9E3779B97F4A7C15

// rendezvousScore returns the score of key at the upstream with the given ID. A key
// is placed at the upstreams with the highest scores.
func rendezvousScore(key, id uint64) uint64 {
	high, low := bits.Mul64(key^mixMultiplier, id|1)
	high2, low2 := bits.Mul64(high^low^id, mixMultiplier)
	return high2 ^ low2
}

// Rank appends to order the indices of the count upstreams with the highest
// rendezvous scores for key, highest first. It skips indices that order already
// contains. It appends at most 16 indices, also if count is greater, and allocates
// only if order lacks capacity. count must not be negative.
func Rank(upstreams []Upstream, key uint64, count int, order []int) []int {
	const maxRanked = 16
	count = min(count, maxRanked)
	var scores [maxRanked]uint64
	var best [maxRanked]int
	found := 0
	for i := range upstreams {
		score := rendezvousScore(key, upstreams[i].ID)
		if found == count && (count == 0 || score <= scores[count-1]) {
			continue
		}
		if containsIndex(order, i) {
			continue
		}
		position := found
		if found < count {
			found++
		} else {
			position = count - 1
		}
		for position > 0 && scores[position-1] < score {
			scores[position], best[position] = scores[position-1], best[position-1]
			position--
		}
		scores[position], best[position] = score, i
	}
	return append(order, best[:found]...)
}

func containsIndex(order []int, index int) bool {
	for _, other := range order {
		if index == other {
			return true
		}
	}
	return false
}

// PrefixKey returns the rendezvous key of a request: the hash of its first
// blockCount blocks, or of all its blocks if it has fewer. Requests without a
// whole block, and all requests if blockCount is not positive, get a key that is
// the same for all requests of the customer.
func PrefixKey(request Request, blockCount int) uint64 {
	if len(request.Hashes) == 0 || blockCount <= 0 {
		return UpstreamID(request.Customer)
	}
	return request.Hashes[min(blockCount, len(request.Hashes))-1]
}
