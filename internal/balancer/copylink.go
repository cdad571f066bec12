package balancer

import (
	"math"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
)

const (
	// crossZoneCopyFactor is how many times as long a copy between zones takes.
	crossZoneCopyFactor = 2.0
	// linkLoadTimeConstant is the time in which the weight of a copy in the load of a link
	// falls to 1/e.
	linkLoadTimeConstant = time.Second
	// maxLinkLoad bounds the load from which the wait for a link is computed, since the mean
	// wait grows without bound towards 1.
	maxLinkLoad = 0.95
)

// linkLoad measures the share of time for which the copies that this gateway requested occupy
// the link of an engine.
//
// Load pattern: after new weights were loaded, many engines lack the same long prefixes, and all
// of them copy from the few that have them. An engine carries its copies one after the other, so
// a copy that is fast on an idle link can take longer than the prefill that it saves.
type linkLoad struct {
	// value is the share at updatedAt.
	value     float64
	updatedAt bootclock.Instant
}

// add records a copy of this duration.
func (l *linkLoad) add(durationMS float64, now bootclock.Instant) {
	l.value = l.share(now) + durationMS/float64(linkLoadTimeConstant/time.Millisecond)
	l.updatedAt = now
}

// share returns the current share.
func (l *linkLoad) share(now bootclock.Instant) float64 {
	return l.value * math.Exp(-float64(now.Sub(l.updatedAt))/float64(linkLoadTimeConstant))
}

// links holds what is needed to estimate copies between engines. The zero value stands for
// links that are not known: copies have an assumed rate and do not wait.
type links struct {
	// tokensPerMS is the rate of an engine's link; 0 if it is not known.
	tokensPerMS float64
	// gateways is the number of gateways that request copies.
	gateways int
}

// linksOf returns the links of the engines that may get a request. Where rates are not learned,
// they are not known. b.mu must be held.
func (b *Balancer) linksOf(request *Request, pool string) links {
	if b.rates.pools[pool] == nil {
		return links{}
	}
	return links{tokensPerMS: request.LinkTokensPerMS, gateways: b.gatewayCount}
}

// copyMS returns how long a copy occupies the links of both engines, in milliseconds.
func (l links) copyMS(tokens int64, crossesZones bool) float64 {
	switch {
	case l.tokensPerMS <= 0:
		return float64(tokens) / copyTokensPerMS
	case crossesZones:
		return float64(tokens) / l.tokensPerMS * crossZoneCopyFactor
	default:
		return float64(tokens) / l.tokensPerMS
	}
}

// waitMS returns how long a copy that takes durationMS is expected to wait for a link, if all
// gateways use the link alike.
func (l links) waitMS(link *linkLoad, durationMS float64, now bootclock.Instant) float64 {
	if l.tokensPerMS <= 0 {
		return 0
	}
	load := min(link.share(now)*float64(l.gateways), maxLinkLoad)
	return load / (1 - load) * durationMS
}
