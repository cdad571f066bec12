package balancer

import (
	"slices"

	"github.com/greengagegate/greengagegate/internal/catalog"
)

// VersionFilter limits a request to some upstreams of a pool while a software version may be
// rolled out there. It must not be changed once it is in use.
type VersionFilter struct {
	// Allowed are the software versions whose upstreams may get the request.
	Allowed []string
	// Canaries are the IDs of the only upstreams that may get the request; nil allows all.
	Canaries []string
}

// allows reports whether an upstream may get the request. A nil filter allows all.
func (f *VersionFilter) allows(upstream *catalog.Upstream) bool {
	if f == nil {
		return true
	}
	if !slices.Contains(f.Allowed, upstream.Software) {
		return false
	}
	return f.Canaries == nil || slices.Contains(f.Canaries, upstream.ID)
}
