package quota

import (
	"math"
	"time"

	"github.com/greengagegate/greengagegate/internal/invariant"
)

// slack covers the rounding of floating point sums, in tokens.
const slack = 1e-3

// share is this process's part of one customer's limit: a token bucket whose
// level and loans together never exceed its burst.
type share struct {
	limit Limit
	level float64
	at    time.Time
	// unknown is what an earlier holder may have lent, until its term is over.
	unknown float64
	// restored is the part of unknown that the former holder had reserved.
	restored float64
	// reserved must not be lent; noted is what the keeper has confirmed of it.
	reserved, noted float64
	// shortOf is what was asked for in vain, for being reserved, at shortAt.
	shortOf  float64
	shortAt  time.Time
	asked    demand
	loans    ledger
	deficits deficitHistory
}

// newShare returns an empty share.
func newShare(now time.Time) *share {
	return &share{at: now}
}

// advance brings the share to now under a limit. A smaller limit takes effect at
// once; a larger one gives nothing for the time before.
func (s *share) advance(now time.Time, limit Limit, unknown float64) {
	elapsed := now.Sub(s.at).Seconds()
	gained := elapsed * min(s.limit.Rate, limit.Rate)
	s.limit = limit
	s.unknown = max(0, unknown-s.restored)
	s.at = now
	s.level = max(0, min(s.level+gained, s.room(now)))
	s.deficits.record(now, s.deficit(now))
}

// room is the highest level that the loans leave.
func (s *share) room(now time.Time) float64 {
	return s.limit.Burst - s.loans.total(now) - s.unknown
}

// deficit is how far the share is from full.
func (s *share) deficit(now time.Time) float64 {
	return max(0, s.room(now)-s.level)
}

// lendable is what the share may lend or reserve.
func (s *share) lendable(now time.Time) float64 {
	return min(s.level, MaxLent*s.limit.Burst-s.loans.total(now))
}

// lend answers a pool's ask. The share is advanced to now.
func (s *share) lend(now time.Time, borrower uint64, ask *TokenRequest, refundSince time.Time, term time.Duration, reserved float64) TokenReply {
	returned, known, fresh := s.loans.report(now, borrower, ask)
	if !fresh {
		return TokenReply{}
	}
	s.level = max(0, min(s.level+returned, s.room(now)))
	s.deficits.record(now, s.deficit(now))
	s.refund(now, float64(ask.Refund), refundSince)
	granted := portion(s.lendable(now)-reserved, ask.Want, ask.Extra)
	s.noteAsk(now, ask.Want, granted)
	s.level -= float64(granted)
	s.loans.issue(now, borrower, float64(granted), term)
	s.deficits.record(now, s.deficit(now))
	invariant.Check(s.level >= 0, "quota.share_negative", "level %f", s.level)
	invariant.Check(s.level+s.loans.total(now)+s.unknown <= s.limit.Burst+slack || s.level == 0,
		"quota.share_above_burst", "level %f, loans %f, burst %f", s.level, s.loans.total(now), s.limit.Burst)
	return TokenReply{Granted: granted, Renewed: known, Left: int64(s.level)}
}

// noteAsk remembers how often tokens are asked for.
func (s *share) noteAsk(now time.Time, want, granted int64) {
	s.asked.add(now, float64(want))
	if granted >= want {
		s.shortOf = 0
	}
}

// refund takes back tokens that were spent and not used, as far as the share
// has not been full since they were spent.
func (s *share) refund(now time.Time, tokens float64, since time.Time) {
	if tokens <= 0 || since.IsZero() {
		return
	}
	tokens = min(tokens, s.deficits.least(since), s.deficit(now))
	if tokens <= 0 {
		return
	}
	s.level += tokens
	s.deficits.lower(since, tokens)
}

// portion divides what is there: want is given whole if possible, else what
// there is; extra only up to half of the rest.
func portion(level float64, want, extra int64) int64 {
	whole := int64(math.Floor(level))
	if whole <= want {
		return max(0, whole)
	}
	return want + min(extra, (whole-want)/2)
}
