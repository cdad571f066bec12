package balancer

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/catalog"
)

const (
	// paceTime is how far back the pace looks.
	paceTime = 2 * time.Second
	// newShare is the part of the engines with new weights that may be taken up by
	// requests which prefer them.
	newShare = 0.4
)

// pace is the number of prompt tokens that engines read for this gateway, a
// millisecond, in which older ones count less and less.
type pace struct {
	tokens float64
	at     bootclock.Instant
}

func (p *pace) note(tokens float64, now bootclock.Instant) {
	p.tokens = p.perMS(now) + tokens/float64(paceTime/time.Millisecond)
	p.at = now
}

func (p *pace) perMS(now bootclock.Instant) float64 {
	return p.tokens * math.Exp(-float64(now.Sub(p.at))/float64(paceTime))
}

// prefersNew decides whether a request prefers engines with new weights. While few
// have them, only so many requests do as these can carry; b.mu is held.
//
// Load pattern: many gateways learn at once that some engines have new weights, hold
// nothing and are idle. Each finds them the cheapest, and together they send them
// seconds of work before the first of them sees that. In a small fleet each gateway
// has enough requests of its own to see it at once.
func (b *Balancer) prefersNew(list []*catalog.Upstream, holdings []holding, request *Request, now bootclock.Instant) bool {
	if b.gateways <= smallFleet {
		return true
	}
	count := 0
	for i, upstream := range list {
		s := holdings[i].state
		if holdings[i].version >= request.TargetVersion && !upstream.Draining && !s.ended && !s.down && !now.Before(s.heldUntil) {
			count++
		}
	}
	if count == len(list) {
		return true
	}
	load := b.pace.perMS(now) * float64(b.gateways)
	return rand.Float64()*load < newShare*float64(count)*prefillTokensPerMS
}
