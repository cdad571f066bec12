package balancer

// CacheReport states that an upstream has prefilled the parts of a prompt.
type CacheReport struct {
	// Upstream is the id of the upstream.
	Upstream string
	// Salt is the prefix of the cache keys of the parts; see Request.Salt.
	Salt string
	// Parts are the ids of the parts.
	Parts []string
}

// maxCacheReports bounds the cache reports that are kept for other gateways.
const maxCacheReports = 512

// addCacheReport keeps a cache report for other gateways and drops the oldest ones beyond
// maxCacheReports. b.mu must be held.
func (b *Balancer) addCacheReport(report CacheReport) {
	b.cacheReports = append(b.cacheReports, report)
	if excess := len(b.cacheReports) - maxCacheReports; excess > 0 {
		b.cacheReports = append(b.cacheReports[:0], b.cacheReports[excess:]...)
		b.firstReportNumber += uint64(excess)
	}
}

// CacheReportsSince returns the cache reports of this gateway whose number is at least
// from, and the number of the next report. Reports are numbered from 0. It returns all
// kept reports when the report with the number from has been dropped or from exceeds the
// next number.
func (b *Balancer) CacheReportsSince(from uint64) ([]CacheReport, uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := b.firstReportNumber + uint64(len(b.cacheReports))
	if from < b.firstReportNumber || from > next {
		from = b.firstReportNumber
	}
	return append([]CacheReport(nil), b.cacheReports[from-b.firstReportNumber:]...), next
}

// ApplyCacheReport records a cache report of another gateway. A report about an unknown
// upstream is ignored.
func (b *Balancer) ApplyCacheReport(report CacheReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, known := b.upstreams[report.Upstream]
	if !known {
		return
	}
	now := b.now()
	for _, part := range report.Parts {
		s.parts[report.Salt+part] = cachedPart{usedAt: now, insertedTokensAtUse: s.insertedTokens, prefilled: true}
	}
	s.trimParts(now)
}
