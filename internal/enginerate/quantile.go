package enginerate

import (
	"cmp"
	"slices"
)

// weightedRate is a rate in tokens per millisecond with its weight in a quantile.
type weightedRate struct{ rate, weight float64 }

// quantile returns the smallest of rates at which the weights of the rates up to it reach a
// fraction of all weights. It sorts rates, which must not be empty.
func quantile(rates []weightedRate, fraction float64) float64 {
	slices.SortFunc(rates, func(a, b weightedRate) int { return cmp.Compare(a.rate, b.rate) })
	total := 0.0
	for _, r := range rates {
		total += r.weight
	}
	sum := 0.0
	for _, r := range rates {
		if sum += r.weight; sum >= fraction*total {
			return r.rate
		}
	}
	return rates[len(rates)-1].rate
}
