package waitqueue

import (
	"math/rand/v2"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
)

const (
	// minSpread is the least time over which returning callers are spread.
	minSpread = 20 * time.Millisecond
	// minSpareShare is the least share of the rate that is assumed to be left for returning
	// callers.
	minSpareShare = 0.1
	// latestShare is the part of Request.MaxRetryAfter over which callers are spread for which
	// room is expected later than that.
	latestShare = 0.25
)

// reject completes the decision about a rejected request with its RetryAfter: the time at
// which the request, if it returns then, is expected to begin in time, after the callers of
// its priority that were rejected before it, plus a random part of Spread. Spread is the
// time that the request takes of the rate left over, so that callers return one after the
// other.
func (q *Queue) reject(e *Entry, decision Decision, reason Reason, now bootclock.Instant) Decision {
	decision.Reason = reason
	if e.MaxRetryAfter <= 0 {
		return decision
	}
	c := e.class
	decision.Spread = max(minSpread, q.returnInterval(e, decision.TokensPerSecond, now))
	patience := e.BeginBy.Sub(e.ArrivedAt)
	due := max(now.Add(max(0, decision.Wait-patience)), c.nextReturn)
	wait := due.Sub(now) + time.Duration(rand.Float64()*float64(decision.Spread))
	if latest := e.MaxRetryAfter; wait > latest {
		decision.Spread = time.Duration(latestShare * float64(latest))
		decision.RetryAfter = latest - time.Duration(rand.Float64()*float64(decision.Spread))
		return decision
	}
	c.nextReturn = due.Add(q.returnInterval(e, decision.TokensPerSecond, now))
	decision.RetryAfter = max(wait, time.Millisecond)
	return decision
}

// returnInterval returns the time in which the rate that admitted requests of the same and
// more urgent priorities leave over serves the request; 0 if the rate is not known.
func (q *Queue) returnInterval(e *Entry, rate float64, now bootclock.Instant) time.Duration {
	if rate <= 0 {
		return 0
	}
	spare := rate
	for _, c := range q.classes[:e.class.priority+1] {
		spare -= c.admitted.perSecond(now)
	}
	return toWait(e.Tokens, max(spare, minSpareShare*rate))
}
