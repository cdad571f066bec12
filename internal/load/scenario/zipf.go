package scenario

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

// zipfSampler draws positions from 0, where position i has a probability
// proportional to (i+1)^-exponent.
type zipfSampler struct {
	// cumulative holds the running sums of the weights, which are not normalized.
	cumulative []float64
}

func newZipfSampler(count int, exponent float64) *zipfSampler {
	z := &zipfSampler{cumulative: make([]float64, count)}
	sum := 0.0
	for i := range z.cumulative {
		sum += math.Pow(float64(i+1), -exponent)
		z.cumulative[i] = sum
	}
	return z
}

func (z *zipfSampler) sample(random *rand.Rand) int {
	point := random.Float64() * z.cumulative[len(z.cumulative)-1]
	return min(sort.SearchFloat64s(z.cumulative, point), len(z.cumulative)-1)
}

// rankingKey identifies the ranking of a customer's documents after a number of shuffles.
type rankingKey struct {
	customer, shuffles int
}

// documentAtRank returns the customer's document that has this rank at this time of
// the run.
func (g *generator) documentAtRank(customer int, at time.Duration, rank int) int {
	key := rankingKey{customer: customer, shuffles: g.shufflesUntil(at)}
	documents, ok := g.documentsByRank[key]
	if !ok {
		stream := uint64(streamDocumentRanks)<<32 | uint64(key.shuffles)<<16 | uint64(customer)
		documents = g.newRand(stream).Perm(g.scenario.Documents)
		g.documentsByRank[key] = documents
	}
	return documents[rank]
}

// shufflesUntil returns the number of shuffles up to a time: the periodic ones and
// the additional ones of the plan.
func (g *generator) shufflesUntil(at time.Duration) int {
	count := int(at / g.scenario.ShuffleInterval)
	for _, shift := range g.options.ExtraShuffles {
		if at >= shift {
			count++
		}
	}
	return count
}
