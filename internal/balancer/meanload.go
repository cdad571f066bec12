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
// weights. In a large fleet each other gateway is assumed to have about the same mean
// load. The current load of this gateway says little about the others: when it has no
// requests at an idle upstream, the others may have found the upstream idle as well and
// have sent requests since.
type meanLoad struct {
	running       float64
	backlogTokens float64
	updatedAt     bootclock.Instant
}

// update records a load that has lasted since the last call. It must be called before the
// load changes.
func (l *meanLoad) update(running int, backlogTokens int64, now bootclock.Instant) {
	weight := 1 - math.Exp(-float64(now.Sub(l.updatedAt))/float64(meanLoadTimeConstant))
	l.updatedAt = now
	l.running += weight * (float64(running) - l.running)
	l.backlogTokens += weight * (float64(backlogTokens) - l.backlogTokens)
}
