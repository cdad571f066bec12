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
	// returnWait is the part of its time to begin, from arrival to BeginBy, that a
	// returning request is expected to wait.
	returnWait = 0.5
)

// reject completes the decision about a rejected request with its RetryAfter: the time at
// which the request, if it returns then, is expected to wait for returnWait of its time to
// begin, after the callers of its class and more urgent ones that were rejected before it, plus a
// random part of Spread. Spread is the time in which the rate that is left over serves the
// request, so that callers return one after the other.
func (q *Queue) reject(e *Entry, decision Decision, reason Reason, now bootclock.Instant) Decision {
	decision.Reason = reason
	if e.MaxRetryAfter <= 0 {
		return decision
	}
	c := e.class
	interval := q.returnInterval(e, decision.TokensPerSecond, now)
	decision.Spread = max(minSpread, interval)
	timeToBegin := max(0, e.BeginBy.Sub(e.ArrivedAt))
	roomIn := decision.Wait - time.Duration(returnWait*float64(timeToBegin))
	due := now.Add(max(0, roomIn))
	for _, other := range q.classes[:c.rank+1] {
		due = max(due, other.nextReturn)
	}
	wait := due.Sub(now) + time.Duration(rand.Float64()*float64(decision.Spread))
	if wait > e.MaxRetryAfter {
		decision.Spread = time.Duration(latestShare * float64(e.MaxRetryAfter))
		decision.RetryAfter = e.MaxRetryAfter - time.Duration(rand.Float64()*float64(decision.Spread))
		return decision
	}
	c.nextReturn = due.Add(interval)
	decision.RetryAfter = max(wait, time.Millisecond)
	return decision
}

// returnInterval returns the time in which the rate that the demand of the same and more
// urgent classes leaves over serves the request; 0 if the rate is not known.
func (q *Queue) returnInterval(e *Entry, rate float64, now bootclock.Instant) time.Duration {
	if rate <= 0 {
		return 0
	}
	spare := rate
	for _, c := range q.classes[:e.class.rank+1] {
		spare -= c.demand.perSecond(now)
	}
	return toWait(e.Tokens, max(spare, minSpareShare*rate))
}
