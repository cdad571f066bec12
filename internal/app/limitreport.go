package app

import (
	"github.com/greengagegate/greengagegate/internal/ratelimit"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
)

// encodeLimits returns the messages for what upstreams stated about their limits.
func encodeLimits(reports []ratelimit.Report) []*wirepb.StatedLimit {
	var encoded []*wirepb.StatedLimit
	for _, r := range reports {
		encoded = append(encoded, &wirepb.StatedLimit{
			Upstream: r.Upstream, StartedMs: r.StartedMillis, Limited: r.Limited, PerSecond: r.PerSecond, AgeMs: r.Age.Milliseconds(),
		})
	}
	return encoded
}

// decodeLimit returns the report in a message.
func decodeLimit(message *wirepb.StatedLimit) ratelimit.Report {
	return ratelimit.Report{
		Statement: ratelimit.Statement{
			Incarnation: ratelimit.Incarnation{Upstream: message.Upstream, StartedMillis: message.StartedMs},
			Limited:     message.Limited,
			PerSecond:   message.PerSecond,
		},
		Age: milliseconds(message.AgeMs),
	}
}
