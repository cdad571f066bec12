package scenario

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

// zipf draws ranks with probability in proportion to rank^-exponent.
type zipf struct {
	cumulative []float64
}

func newZipf(count int, exponent float64) *zipf {
	z := &zipf{cumulative: make([]float64, count)}
	sum := 0.0
	for i := range z.cumulative {
		sum += math.Pow(float64(i+1), -exponent)
		z.cumulative[i] = sum
	}
	return z
}

func (z *zipf) draw(random *rand.Rand) int {
	point := random.Float64() * z.cumulative[len(z.cumulative)-1]
	return min(sort.SearchFloat64s(z.cumulative, point), len(z.cumulative)-1)
}

type rankKey struct {
	customer, epoch int
}

// document returns which of a customer's documents holds a rank at a time.
func (g *generator) document(customer int, at time.Duration, rank int) int {
	key := rankKey{customer: customer, epoch: g.epoch(at)}
	order, ok := g.ranks[key]
	if !ok {
		stream := uint64(streamRanks)<<32 | uint64(key.epoch)<<16 | uint64(customer)
		order = g.random(stream).Perm(g.scenario.Documents)
		g.ranks[key] = order
	}
	return order[rank]
}

// epoch counts the reshuffles up to a time.
func (g *generator) epoch(at time.Duration) int {
	epoch := int(at / g.scenario.ShuffleEvery)
	for _, shift := range g.options.Shifts {
		if at >= shift {
			epoch++
		}
	}
	return epoch
}
