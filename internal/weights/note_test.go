package weights

import (
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/catalog"
	"github.com/greengagegate/greengagegate/store/memstore"
	"github.com/rs/zerolog"
)

// After a restart of all gateways, weights that had been out of date before it must not be allowed
// again, whether the versions or the lease's record are read first.
func TestRestartOfAllGatewaysKeepsVersionsBinding(t *testing.T) {
	const limit = 10 * time.Second
	for name, versionsFirst := range map[string]bool{"versions read first": true, "record read first": false} {
		t.Run(name, func(t *testing.T) {
			s, now := memstore.New(), bootclock.Now()
			before := catalog.New()
			before.SetTargetVersions(nil, now.Add(-time.Minute))
			before.SetTargetVersions(map[string]int64{"m": 5}, now.Add(-20*time.Second))
			before.SetTargetVersions(map[string]int64{"m": 6}, now.Add(-4*time.Second))
			if _, err := NewLease(s, "a", time.Second, before, zerolog.Nop()).Acquire(t.Context()); err != nil {
				t.Fatal(err)
			}
			after := catalog.New()
			steps := []func(){
				func() { after.SetTargetVersions(map[string]int64{"m": 6}, bootclock.Now()) },
				// Only the former holder, which has the same name, gets the lease at once; the
				// others read the record, too.
				func() { _, _ = NewLease(s, "b", time.Second, after, zerolog.Nop()).Acquire(t.Context()) },
			}
			if !versionsFirst {
				steps[0], steps[1] = steps[1], steps[0]
			}
			for _, step := range steps {
				step()
			}
			target := after.TargetVersion("m")
			if got := target.CertainMinVersion(now, limit); got != 5 {
				t.Errorf("minimum version %d after the restart, want 5: %+v", got, target.DatedVersions())
			}
			if got := target.CertainMinVersion(now.Add(7*time.Second), limit); got != 6 {
				t.Errorf("minimum version %d when 6 has been known for 11 s, want 6: %+v", got, target.DatedVersions())
			}
		})
	}
}

// A note that cannot be read, or states an impossible age, is no reason to allow or forbid weights.
func TestOddNoteIsIgnored(t *testing.T) {
	versions, now := catalog.New(), bootclock.Now()
	versions.SetTargetVersions(map[string]int64{"m": 5}, now)
	reader := &noteReader{versions: versions, log: zerolog.Nop()}
	for _, note := range []string{"", "odd", `{"model":"m"}`, `[{"model":"m","version":-1,"age_ms":99999}]`, `[{"model":"m","version":5,"age_ms":-99999}]`} {
		reader.read([]byte(note))
	}
	if target := versions.TargetVersion("m"); target.Version != 5 || target.KnownSince != now {
		t.Errorf("target %+v, want version 5 as it was", target)
	}
}
