package balancer

import (
	"math"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
)

// meanLoadTimeConstant is the time in which the weight of an earlier load in the mean
// falls to 1/e.
const meanLoadTimeConstant = time.Second

// meanLoad is the mean of this gateway's load at an upstream, with exponentially decaying
// weights. Each of many other gateways is assumed to have the same mean load. The current
// load of this gateway says nothing about the others, because all of them found the
// upstream idle and sent requests as well.
type meanLoad struct {
	running       float64
	backlogTokens float64
	updatedAt     bootclock.Instant
}

// update records a load that has lasted since the last call.
func (l *meanLoad) update(running int, backlogTokens int64, now bootclock.Instant) {
	weight := 1 - math.Exp(-float64(now.Sub(l.updatedAt))/float64(meanLoadTimeConstant))
	l.updatedAt = now
	l.running += weight * (float64(running) - l.running)
	l.backlogTokens += weight * (float64(backlogTokens) - l.backlogTokens)
}
