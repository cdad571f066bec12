package balancer

// CacheReport says that an upstream has read the parts of a prompt.
type CacheReport struct {
	Upstream string
	Salt     string
	// Parts are the ids of the parts.
	Parts []string
}

// maxReadings bounds the readings that are kept for other gateways.
const maxReadings = 512

// tell keeps a reading for other gateways; b.mu is held.
func (b *Balancer) tell(r CacheReport) {
	b.cacheReports = append(b.cacheReports, r)
	if excess := len(b.cacheReports) - maxReadings; excess > 0 {
		b.cacheReports = append(b.cacheReports[:0], b.cacheReports[excess:]...)
		b.firstReading += uint64(excess)
	}
}

// CacheReportsSince returns this gateway's readings from a number on, and the number of
// the next one.
func (b *Balancer) CacheReportsSince(from uint64) ([]CacheReport, uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := b.firstReading + uint64(len(b.cacheReports))
	if from < b.firstReading || from > next {
		from = b.firstReading
	}
	return append([]CacheReport(nil), b.cacheReports[from-b.firstReading:]...), next
}

// ApplyCacheReport takes a reading of another gateway.
func (b *Balancer) ApplyCacheReport(r CacheReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, known := b.upstreams[r.Upstream]
	if !known {
		return
	}
	now := b.now()
	for _, part := range r.Parts {
		s.parts[r.Salt+part] = held{used: now, mark: s.turnover, read: true}
	}
	s.forgetOldParts(now)
}
