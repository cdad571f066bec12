package balancer

// Reading says that an upstream has read the parts of a prompt.
type Reading struct {
	Upstream string
	Salt     string
	// Parts are the ids of the parts.
	Parts []string
}

// maxReadings bounds the readings that are kept for other gateways.
const maxReadings = 512

// tell keeps a reading for other gateways; c.mu is held.
func (c *Chooser) tell(r Reading) {
	c.readings = append(c.readings, r)
	if excess := len(c.readings) - maxReadings; excess > 0 {
		c.readings = append(c.readings[:0], c.readings[excess:]...)
		c.firstReading += uint64(excess)
	}
}

// Readings returns this gateway's readings from a number on, and the number of
// the next one.
func (c *Chooser) Readings(from uint64) ([]Reading, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := c.firstReading + uint64(len(c.readings))
	if from < c.firstReading || from > next {
		from = c.firstReading
	}
	return append([]Reading(nil), c.readings[from-c.firstReading:]...), next
}

// Hear takes a reading of another gateway.
func (c *Chooser) Hear(r Reading) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, known := c.upstreams[r.Upstream]
	if !known {
		return
	}
	now := c.now()
	for _, part := range r.Parts {
		s.parts[r.Salt+part] = held{used: now, mark: s.turnover, read: true}
	}
	s.forgetOldParts(now)
}
