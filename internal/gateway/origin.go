package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/catalog"
	"github.com/greengagegate/greengagegate/internal/origin"
)

// versionGoneRetryAfter is the retry time while no upstream has the software version that a
// stream needs: about the time in which a crashed one is back.
const versionGoneRetryAfter = time.Second

// Refusals of streams that a caller resumes.
var (
	refusedUnknownVersion = &refusal{http.StatusServiceUnavailable, "version-unknown", transientRetryAfter}
	refusedVersionGone    = &refusal{http.StatusServiceUnavailable, "version-gone", versionGoneRetryAfter}
)

// Origins tells at which software version streams began, at any gateway; see package origin.
type Origins interface {
	Began(key origin.Key, upstream *catalog.Upstream)
	IsUncertain(key origin.Key) bool
	MarkUncertain(upstream string, since bootclock.Instant)
	Resolve(ctx context.Context, key origin.Key, pool string) origin.Origin
	IsSingle(pool string) bool
}

// resumesStream reports whether the caller already has events of the stream.
func (j *job) resumesStream() bool {
	return j.route.Kind == catalog.Stream && (j.call.LastEventID != "" || j.call.ResumedID != "")
}

// streamID returns the ID of the caller's attempt that brings, or brought, the first event.
func (j *job) streamID() string {
	if j.call.ResumedID != "" {
		return j.call.ResumedID
	}
	return j.call.ID
}

func (j *job) streamKey() origin.Key {
	customer := ""
	if j.customer != nil {
		customer = j.customer.Name
	}
	return origin.KeyOf(customer, j.streamID())
}

// pinOrigin keeps a stream that the caller resumes to the pool and the software version at
// which it began. It returns a refusal if they are not known or no longer serve, since the
// caller would get events that do not fit together.
func (j *job) pinOrigin() *refusal {
	if !j.resumesStream() {
		return nil
	}
	found := j.gateway.Origins.Resolve(j.r.Context(), j.streamKey(), j.pool.Name)
	j.outcome.origin = found
	if found.Finding == origin.FindingUnknown {
		return refusedUnknownVersion
	}
	if found.Pool != j.pool.Name {
		if j.pools[found.Pool] == nil {
			return refusedVersionGone
		}
		j.pool = j.pools[found.Pool]
	}
	j.pinSoftware(found.Software)
	if !j.isVersionServed() {
		return refusedVersionGone
	}
	return nil
}

// isVersionServed reports whether an upstream with the pinned software version is listed and
// not draining.
func (j *job) isVersionServed() bool {
	upstreams := j.gateway.Catalog.Upstreams()
	if upstreams == nil {
		return false
	}
	for _, upstream := range upstreams.ByPool[j.pool.Name] {
		if upstream.Software == j.pickRequest.Software && !upstream.Draining {
			return true
		}
	}
	return false
}

// pinSoftware keeps further sends of the request to upstreams of one software version, because
// the caller gets events that such an upstream wrote.
func (j *job) pinSoftware(version string) {
	j.pickRequest.SoftwarePinned, j.pickRequest.Software = true, version
}

// recordOrigin is called before the first event of a send is forwarded to the caller.
func (j *job) recordOrigin(s *send) {
	upstream := s.choice.Upstream
	j.pinSoftware(upstream.Software)
	if j.route.Resumable {
		j.gateway.Origins.Began(j.streamKey(), upstream)
		j.confirmBegun(s)
	}
}
