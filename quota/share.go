package quota

import (
	"math"
	"time"

	"github.com/greengagegate/greengagegate/internal/invariant"
)

// slack covers the rounding of floating point sums, in tokens.
const roundingTolerance = 1e-3

// share is this process's part of one customer's limit: a token bucket whose
// level and loans together never exceed its burst.
type share struct {
	limit      Limit
	level      float64
	advancedAt time.Time
	// unknown is what an earlier holder may have lent, until its term is over.
	unknown float64
	// restored is the part of unknown that the former holder had reserved.
	restored float64
	// reserved must not be lent; noted is what the keeper has confirmed of it.
	reserved, confirmed float64
	// shortOf is what was asked for in vain, for being reserved, at shortAt.
	shortage   float64
	shortageAt time.Time
	demand     demand
	loans      ledger
	deficits   deficitHistory
}

// newShare returns an empty share.
func newShare(now time.Time) *share {
	return &share{advancedAt: now}
}

// advance brings the share to now under a limit. A smaller limit takes effect at
// once; a larger one gives nothing for the time before.
func (s *share) advance(now time.Time, limit Limit, unknown float64) {
	elapsed := now.Sub(s.advancedAt).Seconds()
	gained := elapsed * min(s.limit.Rate, limit.Rate)
	s.limit = limit
	s.unknown = max(0, unknown-s.restored)
	s.advancedAt = now
	s.level = max(0, min(s.level+gained, s.maxLevel(now)))
	s.deficits.record(now, s.deficit(now))
}

// room is the highest level that the loans leave.
func (s *share) maxLevel(now time.Time) float64 {
	return s.limit.Burst - s.loans.totalUnspent(now) - s.unknown
}

// deficit is how far the share is from full.
func (s *share) deficit(now time.Time) float64 {
	return max(0, s.maxLevel(now)-s.level)
}

// lendable is what the share may lend or reserve.
func (s *share) lendable(now time.Time) float64 {
	return min(s.level, MaxLent*s.limit.Burst-s.loans.totalUnspent(now))
}

// lend answers a pool's ask. The share is advanced to now.
func (s *share) lend(now time.Time, borrowerID uint64, request *TokenRequest, refundSince time.Time, term time.Duration, reserved float64) TokenReply {
	returned, holdingKnown, isNew := s.loans.applyReport(now, borrowerID, request)
	if !isNew {
		return TokenReply{}
	}
	s.level = max(0, min(s.level+returned, s.maxLevel(now)))
	s.deficits.record(now, s.deficit(now))
	s.refund(now, float64(request.Refund), refundSince)
	granted := grantableTokens(s.lendable(now)-reserved, request.Want, request.Extra)
	s.recordDemand(now, request.Want, granted)
	s.level -= float64(granted)
	s.loans.issue(now, borrowerID, float64(granted), term)
	s.deficits.record(now, s.deficit(now))
	invariant.Check(s.level >= 0, "quota.share_negative", "level %f", s.level)
	invariant.Check(s.level+s.loans.totalUnspent(now)+s.unknown <= s.limit.Burst+roundingTolerance || s.level == 0,
		"quota.share_above_burst", "level %f, loans %f, burst %f", s.level, s.loans.totalUnspent(now), s.limit.Burst)
	return TokenReply{Granted: granted, Renewed: holdingKnown, Left: int64(s.level)}
}

// noteAsk remembers how often tokens are asked for.
func (s *share) recordDemand(now time.Time, want, granted int64) {
	s.demand.record(now, float64(want))
	if granted >= want {
		s.shortage = 0
	}
}

// refund takes back tokens that were spent and not used, as far as the share
// has not been full since they were spent.
func (s *share) refund(now time.Time, tokens float64, since time.Time) {
	if tokens <= 0 || since.IsZero() {
		return
	}
	tokens = min(tokens, s.deficits.minSince(since), s.deficit(now))
	if tokens <= 0 {
		return
	}
	s.level += tokens
	s.deficits.reduceSince(since, tokens)
}

// portion divides what is there: want is given whole if possible, else what
// there is; extra only up to half of the rest.
func grantableTokens(available float64, want, extra int64) int64 {
	wholeTokens := int64(math.Floor(available))
	if wholeTokens <= want {
		return max(0, wholeTokens)
	}
	return want + min(extra, (wholeTokens-want)/2)
}
