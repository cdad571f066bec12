package balancer

import (
	"math"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
)

// usualTime is how far back the usual load looks.
const usualTime = time.Second

// usualLoad is a mean of a gateway's own load at an upstream over time, in which
// older values count less and less. The load of each of many other gateways is
// taken to be the same: what a gateway has there at the very moment says nothing
// of the others, who have all found it empty and sent something as well.
type usualLoad struct {
	running float64
	backlog float64
	at      bootclock.Instant
}

// note counts a load that has lasted since the last call.
func (u *usualLoad) note(running int, backlog int64, now bootclock.Instant) {
	weight := 1 - math.Exp(-float64(now.Sub(u.at))/float64(usualTime))
	u.at = now
	u.running += weight * (float64(running) - u.running)
	u.backlog += weight * (float64(backlog) - u.backlog)
}
