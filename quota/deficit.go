package quota

import "time"

// maxDeficitSamples bounds the history of one share.
const maxDeficitSamples = 32

// deficitSample is the deficit of a bucket at one time.
type deficitSample struct {
	at      time.Time
	deficit float64
}

// deficitHistory answers how far a bucket has been from full since some time.
// A refund counts only up to that: had the tokens not been spent, a bucket that
// has been full since would have lost them.
//
// Samples are kept in order of time with strictly growing deficits, so that the
// first one at or after a time is the minimum since then.
type deficitHistory struct {
	start   time.Time
	samples []deficitSample
}

// record adds the deficit at a time not before that of any other sample.
func (h *deficitHistory) record(at time.Time, deficit float64) {
	if h.start.IsZero() {
		h.start = at
	}
	for len(h.samples) > 0 && h.samples[len(h.samples)-1].deficit >= deficit {
		h.samples = h.samples[:len(h.samples)-1]
	}
	h.samples = append(h.samples, deficitSample{at, deficit})
	if len(h.samples) <= maxDeficitSamples {
		return
	}
	// The merged sample has the later time and the smaller deficit, so that no refund grows.
	h.samples[1].deficit = h.samples[0].deficit
	h.samples = append(h.samples[:0], h.samples[1:]...)
}

// least returns the smallest deficit since a time, and zero for times before the first sample.
func (h *deficitHistory) minSince(since time.Time) float64 {
	if since.Before(h.start) {
		return 0
	}
	for _, sample := range h.samples {
		if !sample.at.Before(since) {
			return sample.deficit
		}
	}
	return 0
}

// lower subtracts a refund from all deficits since a time.
func (h *deficitHistory) reduceSince(since time.Time, refund float64) {
	samples := h.samples[:0]
	for _, sample := range h.samples {
		if !sample.at.Before(since) {
			sample.deficit -= refund
		}
		for len(samples) > 0 && samples[len(samples)-1].deficit >= sample.deficit {
			samples = samples[:len(samples)-1]
		}
		samples = append(samples, sample)
	}
	h.samples = samples
}
