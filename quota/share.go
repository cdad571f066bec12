package quota

import (
	"math"
	"time"

	"github.com/greengagegate/greengagegate/internal/invariant"
)

// roundingTolerance, in tokens, allows for the rounding of floating-point sums.
const roundingTolerance = 1e-3

// share is this process's part of one customer's limit: a token bucket. Its
// level, loans and unknown loans together do not exceed its burst, except that
// the loans may after the limit was lowered; the level is then zero. It is
// guarded by lender.mu.
type share struct {
	limit      Limit
	level      float64
	advancedAt time.Time
	// unknownLoans is the number of tokens that the previous holder may have
	// lent, until their term is over.
	unknownLoans float64
	// restored is the part of the previous holder's possible loans that it had
	// reserved and so cannot have lent.
	restored float64
	// reserved is the number of tokens that must not be lent. confirmed is the
	// reserve that the reserve peer last confirmed.
	reserved, confirmed float64
	// reserveShortage is the number of tokens wanted by the last request that
	// needed reserved tokens, at reserveShortageAt. It is zero after a request
	// was granted in full.
	reserveShortage   float64
	reserveShortageAt time.Time
	demand            demand
	loans             ledger
	deficits          deficitHistory
}

// newShare returns an empty share.
func newShare(now time.Time) *share {
	return &share{advancedAt: now}
}

// advance adds the tokens gained until now and sets the limit. A smaller limit
// takes effect at once. A larger one adds no tokens for the time before now.
// unknown is the number of tokens that the previous holder may have lent.
func (s *share) advance(now time.Time, limit Limit, unknown float64) {
	elapsed := now.Sub(s.advancedAt).Seconds()
	gained := elapsed * min(s.limit.Rate, limit.Rate)
	s.limit = limit
	s.unknownLoans = max(0, unknown-s.restored)
	s.advancedAt = now
	s.level = max(0, min(s.level+gained, s.maxLevel(now)))
	s.deficits.record(now, s.deficit(now))
}

// maxLevel returns the highest level that the loans allow.
func (s *share) maxLevel(now time.Time) float64 {
	return s.limit.Burst - s.loans.totalUnspent(now) - s.unknownLoans
}

// deficit returns how many tokens the share is below its highest level.
func (s *share) deficit(now time.Time) float64 {
	return max(0, s.maxLevel(now)-s.level)
}

// lendable returns how many tokens the share may lend or reserve.
func (s *share) lendable(now time.Time) float64 {
	return min(s.level, MaxLentFraction*s.limit.Burst-s.loans.totalUnspent(now))
}

// lend processes a pool's request. The share must have been advanced to now. A
// request that is not newer than the borrower's last one gets an empty reply
// and changes nothing.
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
	invariant.Check(s.level+s.loans.totalUnspent(now)+s.unknownLoans <= s.limit.Burst+roundingTolerance || s.level == 0,
		"quota.share_above_burst", "level %f, loans %f, burst %f", s.level, s.loans.totalUnspent(now), s.limit.Burst)
	return TokenReply{Granted: granted, Renewed: holdingKnown, Remaining: int64(s.level)}
}

// recordDemand counts a request, and clears reserveShortage if all wanted tokens
// were granted.
func (s *share) recordDemand(now time.Time, want, granted int64) {
	s.demand.record(now, float64(want))
	if granted >= want {
		s.reserveShortage = 0
	}
}

// refund puts back tokens that were spent since a time and not used. It is
// limited to the smallest deficit since then: if the share has been full, the
// tokens would have been lost.
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

// grantableTokens returns how many of the available tokens to grant. It grants
// want in full if possible and otherwise all whole tokens there are. Of the
// rest it grants up to half as extra.
func grantableTokens(available float64, want, extra int64) int64 {
	wholeTokens := int64(math.Floor(available))
	if wholeTokens <= want {
		return max(0, wholeTokens)
	}
	return want + min(extra, (wholeTokens-want)/2)
}
