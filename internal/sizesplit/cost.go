package sizesplit

// maxCountedUtilisation bounds the utilisation from which the wait for long prompts is
// computed; above it the mean wait grows without bound.
const maxCountedUtilisation = 0.95

// Costs holds what the requests of one class cost in the other's part. The zero value stands
// for no cost.
type Costs struct {
	// longWaitMS is the mean wait of a short prompt for the long ones at an engine that takes
	// them.
	longWaitMS float64
	// harmPerSquaredMS is the delay of short prompts by a long one at an engine of the short
	// part, summed over them and divided by the square of the long one's prefill time.
	harmPerSquaredMS float64
}

// NewCosts returns the costs for the current work and parts.
//
// A short prompt at an engine that takes long ones waits for those ahead of it: by the formula
// of Pollaczek and Khinchine u/(1-u) times the mean residual of a long prefill, at utilisation
// u by long prompts.
//
// A long prompt that occupies an engine of the short part for x delays each short prompt that
// arrives there meanwhile by x/2 in the mean. It goes there only if it gains more than they
// lose together.
func NewCosts(work *Work, counts Counts) Costs {
	var c Costs
	if counts[PartShort] == 0 || counts[PartLong] == 0 {
		return c
	}
	utilisation := min(work[Long].Engines/float64(counts[PartLong]+counts[PartShared]), maxCountedUtilisation)
	c.longWaitMS = utilisation / (1 - utilisation) * work[Long].ResidualMS
	arrivalsPerMS := work[Short].RequestsPerSecond / 1000 / float64(counts[PartShort])
	c.harmPerSquaredMS = arrivalsPerMS / 2
	return c
}

// PenaltyMS returns what is added to the cost of an engine for a request of a class, in
// milliseconds. prefillMS is the request's prefill time there.
func (c *Costs) PenaltyMS(class Class, part Part, prefillMS float64) float64 {
	switch {
	case class == Short && part != PartShort:
		return c.longWaitMS
	case class == Long && part == PartShort:
		return c.harmPerSquaredMS * prefillMS * prefillMS
	default:
		return 0
	}
}
