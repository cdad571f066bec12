package balancer

import (
	"fmt"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/catalog"
)

// Part is a cached piece of a prompt that requests may share.
type Part struct {
	ID     string
	Tokens int64
}

// Request describes a request for which an upstream is picked.
type Request struct {
	Model string
	// Salt returns the prefix of the keys of cached parts. It differs by weights version
	// and, for isolated customers, by customer.
	Salt func(version int64) string
	// Parts are the parts of the prompt in order. The last one belongs to this request
	// alone.
	Parts []Part
	// TargetVersion is the version of the weights that the request prefers: the model's
	// target version, or 0 if none is known or it has become known too recently to matter
	// (see gateway.Bounds.WeightsGrace).
	TargetVersion int64
	// MinVersion returns the oldest weights version with which a request that begins at an
	// instant may run. A later instant never has an older version. A nil MinVersion allows
	// all versions.
	MinVersion func(begin bootclock.Instant) int64
	// CertainMinVersion takes the place of MinVersion when no upstream with such weights can take the
	// request. It is nil unless the versions of MinVersion may be too high.
	CertainMinVersion func(begin bootclock.Instant) int64
	// PromptTokens is the number of prompt tokens.
	PromptTokens int64
	// Objective is the caller's target time to the first response, or 0 if it has none.
	Objective time.Duration
	// Priority is the priority of the request; 0 is the most urgent.
	Priority int
	// CacheTokens is the cache memory of one engine of the pool, in tokens; 0 if it is
	// not known.
	CacheTokens int64
	// LinkTokensPerMS is the rate at which the link of one engine of the pool carries cached
	// tokens, per millisecond; 0 if it is not known.
	LinkTokensPerMS float64
	// MaxConnections is the number of connections that one upstream accepts from all
	// gateways together; 0 means no limit.
	MaxConnections int
	// TriedUpstreams are the ids of upstreams that must not be picked again.
	TriedUpstreams []string
	// SoftwarePinned is true if only upstreams of the version Software of their software may
	// get the request, because it continues a stream that such an upstream began.
	SoftwarePinned bool
	Software       string
	// Versions limits the request to some software versions of the pool; nil allows all.
	Versions *VersionFilter
}

// minVersion returns the oldest weights version with which the request may run if it begins
// at an instant.
func (r *Request) minVersion(begin bootclock.Instant) int64 {
	if r.MinVersion == nil {
		return 0
	}
	return r.MinVersion(begin)
}

// sharedParts returns the parts that other requests may share: all but the last one.
func (r *Request) sharedParts() []Part { return r.Parts[:max(0, len(r.Parts)-1)] }

// totalTokens returns the number of tokens of all parts.
func totalTokens(parts []Part) int64 {
	tokens := int64(0)
	for _, part := range parts {
		tokens += part.Tokens
	}
	return tokens
}

// Choice is a picked upstream with the estimates and cache transfers that belong to it.
type Choice struct {
	Upstream *catalog.Upstream
	// Version is the last known weights version of the upstream.
	Version int64
	// MissingTokens is the number of prompt tokens that the upstream is expected to
	// prefill.
	MissingTokens int64
	// ExpectedWaitMS is the cost by which upstreams are compared, in milliseconds: the
	// expected wait with added costs and bonuses. It can be negative.
	ExpectedWaitMS float64
	// OwnWorkMS and BacklogMS are the parts of ExpectedWaitMS for the prefill of this request
	// and for the prefills ahead of it. Both are 0 for requests without parts.
	OwnWorkMS, BacklogMS float64
	// Usable is the number of upstreams that were usable. Excluded counts the other
	// upstreams by reason.
	Usable   int
	Excluded Excluded
	// CopySource is the address from which the upstream can copy parts that it lacks, or
	// empty.
	CopySource string
	// CopyTokens is the number of tokens that are expected to be copied.
	CopyTokens int64
	// PossibleCopyTokens is the number of tokens that may be copied in addition to
	// CopyTokens.
	PossibleCopyTokens int64
	// copyLinkMS is how long a copy from an engine occupies the links, and copySourceLink the
	// link of that engine; 0 and nil without one.
	copyLinkMS     float64
	copySourceLink *linkLoad
	// SaveStore is the address of the store in which the shared parts should be saved. It
	// is empty when no store is enabled, the store holds the last shared part, the shared
	// parts have fewer than minSaveTokens tokens, or the save was requested less than
	// saveRetryInterval ago.
	SaveStore string
}

// Excluded counts the upstreams that cannot take a request, by reason.
type Excluded struct {
	// Draining upstreams are listed as draining or have stated that they are leaving: they
	// are going to stop. Replaced ones have another incarnation at their address.
	// Unreachable ones could not be reached. BackingOff ones refused a request recently or
	// want no requests for a time. OnHold ones are being updated to new weights. OldWeights
	// ones have weights older than the minimum version. Tried ones were already tried for
	// this request. AtConnectionLimit ones have all connections that this gateway may use.
	// AtLimit ones take no more requests now, by the limit that they state. OtherSoftware ones
	// have a version other than Request.Software requires or Request.Versions allows.
	Draining, Replaced, Unreachable, BackingOff, OnHold, OldWeights, Tried, AtConnectionLimit, AtLimit, OtherSoftware int
	// LimitedUntil is when the first of the upstreams at their limits may be used, if there
	// are any.
	LimitedUntil bootclock.Instant
}

// String returns the counts for logs. Its keys are part of the log format and differ from
// the field names.
func (e Excluded) String() string {
	return fmt.Sprintf("draining=%d ended=%d down=%d resting=%d held=%d old=%d tried=%d full=%d limited=%d software=%d",
		e.Draining, e.Replaced, e.Unreachable, e.BackingOff, e.OnHold, e.OldWeights, e.Tried, e.AtConnectionLimit, e.AtLimit, e.OtherSoftware)
}
