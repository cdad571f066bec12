package placement

import "math/bits"

const mixMultiplier = 0x9E3779B97F4A7C15

// weigh returns the rendezvous weight of an upstream for a key.
func weigh(key, id uint64) uint64 {
	high, low := bits.Mul64(key^mixMultiplier, id|1)
	high2, low2 := bits.Mul64(high^low^id, mixMultiplier)
	return high2 ^ low2
}

// Rank appends the count upstreams with the highest rendezvous weights for key
// to order, highest first, and leaves out those that order already holds.
func Rank(upstreams []Upstream, key uint64, count int, order []int) []int {
	const maxRanked = 16
	count = min(count, maxRanked)
	var weights [maxRanked]uint64
	var best [maxRanked]int
	found := 0
	for i := range upstreams {
		weight := weigh(key, upstreams[i].ID)
		if found == count && (count == 0 || weight <= weights[count-1]) {
			continue
		}
		if contains(order, i) {
			continue
		}
		at := found
		if found < count {
			found++
		} else {
			at = count - 1
		}
		for at > 0 && weights[at-1] < weight {
			weights[at], best[at] = weights[at-1], best[at-1]
			at--
		}
		weights[at], best[at] = weight, i
	}
	return append(order, best[:found]...)
}

func contains(order []int, i int) bool {
	for _, j := range order {
		if i == j {
			return true
		}
	}
	return false
}

// Key returns the hash of a request's first depth blocks, or of all of its
// blocks when it has fewer. Prompts shorter than a block share their customer's key.
func Key(request Request, depth int) uint64 {
	if len(request.Hashes) == 0 || depth <= 0 {
		return UpstreamID(request.Customer)
	}
	return request.Hashes[min(depth, len(request.Hashes))-1]
}
