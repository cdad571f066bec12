package quota

import "time"

// maxDeficitSamples bounds the deficit history of one share.
const maxDeficitSamples = 32

// deficitSample is the deficit of a bucket at one time.
type deficitSample struct {
	at      time.Time
	deficit float64
}

// deficitHistory records how far a token bucket has been from full. A refund of
// tokens spent at some time is limited to the smallest deficit since then. If
// the bucket has been full since, it would have lost these tokens anyway, so
// they are not refunded.
//
// Samples are ordered by time with strictly increasing deficits, so the first
// sample at or after a time holds the minimum since that time.
type deficitHistory struct {
	start   time.Time
	samples []deficitSample
}

// record adds the deficit at a time, which must not be before that of an
// earlier sample.
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
	// The merged sample takes the later time and the smaller deficit, so that
	// the merge never increases a refund.
	h.samples[1].deficit = h.samples[0].deficit
	h.samples = append(h.samples[:0], h.samples[1:]...)
}

// minSince returns the smallest deficit since a time, or zero if the time is
// before the start of the history.
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

// reduceSince subtracts a refund from all deficits since a time.
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
