package quota

import (
	"math"
	"time"
)

// lenderRetryInterval is how long a lender that did not answer is left alone.
const lenderRetryInterval = 2 * time.Second

// lot is what one lender believes that the pool has unspent.
type lot struct {
	held    float64
	expires time.Time
	// left is what the lender had left at the time of its last answer.
	left       float64
	leftAt     time.Time
	retryAfter time.Time
	// blockedUntil is set when a lender had tokens that it may not lend, since
	// too many are out on loan.
	blockedUntil time.Time
	anchor       anchor
}

// lot returns the lot of a lender.
func (s *stock) lot(address string) *lot {
	found := s.lots[address]
	if found == nil {
		found = new(lot)
		s.lots[address] = found
	}
	return found
}

// expire empties the lots whose term is over.
func (s *stock) expire(now time.Time) {
	for _, lot := range s.lots {
		if !now.Before(lot.expires) {
			lot.held = 0
		}
	}
}

// ask prepares an ask to the lender of a lot. The tokens that were spent are
// counted against this lender, and up to giveBack free ones are returned.
func (s *stock) ask(l *lot, now time.Time, grantTerm time.Duration, seq uint64, giveBack float64) TokenRequest {
	s.expire(now)
	backed := s.needed(l, now, grantTerm)
	returned := math.Floor(max(0, min(giveBack, s.free, backed)))
	s.free -= returned
	l.held = math.Ceil(backed - returned)
	ask := TokenRequest{Customer: s.customer, Seq: seq, Holding: int64(l.held), Returned: int64(returned)}
	if since := l.anchor.instant(s.refund.since); s.refund.tokens >= 1 && since.Incarnation != 0 {
		ask.Refund = int64(s.refund.take().tokens)
		ask.RefundSince = since
	}
	return ask
}

// apply takes in a lender's answer to an ask that was sent at a time.
func (s *stock) apply(l *lot, ask TokenRequest, sent, now time.Time, term time.Duration, answer TokenReply, clock Instant) {
	if !answer.Renewed {
		l.held = 0
	}
	l.held += float64(answer.Granted)
	s.free += float64(answer.Granted)
	if answer.Renewed || answer.Granted > 0 {
		l.expires = sent.Add(ownTerm(term))
	}
	l.left = float64(answer.Left)
	l.leftAt = now
	l.retryAfter = time.Time{}
	if answer.Granted < ask.Want && answer.Left >= 1 {
		l.blockedUntil = now.Add(sweepInterval)
	}
	l.anchor = anchor{at: now, peer: clock}
}

// outlook is what a lender with a part of the limit can likely lend, and how
// full its share likely is. Of what the pool has on loan from it, needed has not
// been spent.
func (l *lot) outlook(now time.Time, limit Limit, part, needed float64) candidate {
	burst := part * limit.Burst
	room := max(1, burst-needed)
	level := room
	if !l.leftAt.IsZero() {
		gained := now.Sub(l.leftAt).Seconds() * limit.Rate * part
		level = min(l.left+gained, room)
	}
	c := candidate{lot: l, level: level, fill: level / room}
	if !now.Before(l.blockedUntil) {
		c.estimate = min(level, max(0, MaxLent*burst-needed))
	}
	return c
}
