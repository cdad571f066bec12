// Package rollout moves a pool's traffic from one software version to another within the
// time that the operator ordered, and back if the new version, the target, is bad.
//
// Gateways count the responses of both versions (Evidence). One process adds up the counts
// (PooledEvidence), compares the versions with a sequential test (Judge), and computes the target's share
// of the requests from the time, the requests counted so far and the verdict (Bounds.Share).
// Every gateway then splits its requests by a hash of the stream's ID (ToTarget) and sends the
// target's part to a few of its upstreams (Canaries, CanaryCount).
//
// These parts are pure: they hold no goroutines, locks or clocks, and time is passed in as the
// time elapsed since the order. None of them is safe for concurrent use.
//
// A Manager applies them at one gateway, with a lock, a clock and calls to the store. The one
// process that decides is the gateway that holds the orders lease.
package rollout
