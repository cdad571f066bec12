package catalog

import "time"

// Notice is what an upstream states about itself in the header of any of its responses. It
// concerns the incarnation that responded.
type Notice struct {
	// Leaving is true if the upstream is going to stop. It must get no new requests from
	// this process, whatever the list of upstreams says.
	Leaving bool
	// RetryAfter is how long, from the response on, the upstream wants no requests from this
	// process; 0 if it states no time.
	RetryAfter time.Duration
	// Limit is the rate that the upstream takes.
	Limit RateLimit
	// Load is the load that the upstream reports.
	Load Load
}

// Load is the load of an upstream when it sent the header of a response, as it reports it.
type Load struct {
	// Reported is true if the response reports the load. Otherwise the other fields are 0.
	Reported bool
	// Running is the number of requests that the upstream is running, Waiting the number of
	// those that wait there, and Slots the number of those that it runs at once.
	Running, Waiting, Slots int
	// Slowness is how long work takes at the upstream, relative to the usual time: 1 is as
	// usual, 2 twice as long. It is 0 if it is not reported.
	Slowness float64
}

// RateLimit is the rate of requests that an upstream takes from all gateways together. It
// holds from the first response that states it for as long as responses do.
type RateLimit struct {
	// Stated is true if the response states a limit of PerSecond, which is not negative.
	Stated    bool
	PerSecond float64
	// Unknown is true if the response does not tell whether there is a limit. The last one
	// holds on.
	Unknown bool
}
