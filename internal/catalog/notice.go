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
}
