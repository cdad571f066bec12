package app

import (
	"context"

	"github.com/greengagegate/greengagegate/internal/fault"
	"github.com/greengagegate/greengagegate/internal/mirror"
	"github.com/greengagegate/greengagegate/store"
)

// versionsReader reads which software versions upstreams have had since the list that is in
// force. It implements origin.VersionsReader. mirror and software are set before the application
// starts.
type versionsReader struct {
	store    PolledStore
	mirror   *mirror.Mirror
	software func(store.Object) (pool, software string, ok bool)
}

// ReadVersions implements origin.VersionsReader. Deleted objects do not state their version; the
// upstream was listed with it before.
func (r *versionsReader) ReadVersions(ctx context.Context) (map[string][]string, error) {
	if r.mirror == nil {
		return nil, fault.New("the platform lists no upstreams", "read versions of upstreams", "")
	}
	objects, err := r.mirror.ReadAhead(ctx, r.store)
	if err != nil {
		return nil, err
	}
	versions := make(map[string][]string)
	for _, object := range objects {
		if pool, software, ok := r.software(object); ok {
			versions[pool] = append(versions[pool], software)
		}
	}
	return versions, nil
}
