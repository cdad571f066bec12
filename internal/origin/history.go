package origin

import (
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/catalog"
)

// bornMargin is added to the horizon when the start times of upstreams are compared with the
// time of day here: clocks differ, and a release lasts for a while after its last start.
const bornMargin = 30 * time.Second

// View is what one gateway knows of the software versions of a pool's upstreams.
type View struct {
	// Span is for how long the gateway knows all versions that were listed.
	Span time.Duration
	// Ages maps each version to how long ago an upstream with it was last listed; 0 for those
	// that are listed now.
	Ages map[string]time.Duration
}

// versionsWithin returns the versions that were listed within the horizon.
func (v View) versionsWithin(horizon time.Duration) map[string]bool {
	versions := make(map[string]bool, len(v.Ages))
	for software, age := range v.Ages {
		if age < horizon {
			versions[software] = true
		}
	}
	return versions
}

// hasList reports whether the gateway has read a list of upstreams.
func (v View) hasList() bool { return v.Span > 0 || len(v.Ages) > 0 }

// isSingle reports whether it is certain that all streams which began within the horizon began
// at the same version.
func (v View) isSingle(horizon time.Duration) bool {
	return v.Span >= horizon && len(v.versionsWithin(horizon)) <= 1
}

// poolHistory is which software versions the upstreams of one pool had.
type poolHistory struct {
	// completeSince is from when on all versions are known.
	completeSince bootclock.Instant
	listed        map[string]bool
	// lastListed holds the versions that are listed no longer.
	lastListed map[string]bootclock.Instant
}

// history is which software versions the upstreams of each pool had. It is not safe for
// concurrent use.
type history struct {
	pools map[string]*poolHistory
	// startedAt is the time of the first list, or 0.
	startedAt bootclock.Instant
	// completeSince is from when on all versions of pools are known that are not listed yet.
	completeSince bootclock.Instant
	// firstStart is true if no stream can have begun before the first list.
	firstStart bool
}

func newHistory(firstStart bool) *history {
	return &history{pools: make(map[string]*poolHistory), firstStart: firstStart}
}

// pool returns the history of a pool. A pool that was not listed before had no versions.
func (h *history) pool(name string) *poolHistory {
	p := h.pools[name]
	if p == nil {
		p = &poolHistory{completeSince: h.completeSince, listed: make(map[string]bool), lastListed: make(map[string]bootclock.Instant)}
		h.pools[name] = p
	}
	return p
}

// observe records a list of upstreams. born reads the time of day, which is compared with the
// start times of upstreams in the first list.
func (h *history) observe(list *catalog.Upstreams, horizon time.Duration, now bootclock.Instant, born time.Time) {
	first := h.startedAt == 0
	if first {
		h.startedAt, h.completeSince = now, now
		if h.firstStart {
			h.completeSince = now.Add(-maxHorizon)
		}
	}
	for name := range list.ByPool {
		h.pool(name)
	}
	for name, p := range h.pools {
		upstreams := list.ByPool[name]
		if first && allBornBefore(upstreams, born.Add(-horizon-bornMargin)) {
			p.completeSince = min(p.completeSince, now.Add(-horizon))
		}
		p.observe(upstreams, now)
	}
}

// allBornBefore reports whether all upstreams started before a time of day. While old
// upstreams are replaced by those of another version, some of them have started recently.
func allBornBefore(upstreams []*catalog.Upstream, bound time.Time) bool {
	for _, upstream := range upstreams {
		if upstream.StartedMillis == 0 || upstream.StartedMillis >= bound.UnixMilli() {
			return false
		}
	}
	return len(upstreams) > 0
}

// observe records the listed upstreams of the pool.
func (p *poolHistory) observe(upstreams []*catalog.Upstream, now bootclock.Instant) {
	listed := make(map[string]bool, len(p.listed))
	for _, upstream := range upstreams {
		listed[upstream.Software] = true
	}
	for software := range p.listed {
		if !listed[software] {
			p.lastListed[software] = now
		}
	}
	for software := range listed {
		delete(p.lastListed, software)
	}
	p.listed = listed
}

// view returns what is known of a pool.
func (h *history) view(name string, now bootclock.Instant) View {
	p := h.pools[name]
	if p == nil {
		if h.startedAt == 0 {
			return View{}
		}
		return View{Span: now.Sub(h.completeSince)}
	}
	v := View{Span: now.Sub(p.completeSince), Ages: make(map[string]time.Duration, len(p.listed)+len(p.lastListed))}
	for software, at := range p.lastListed {
		v.Ages[software] = now.Sub(at)
	}
	for software := range p.listed {
		v.Ages[software] = 0
	}
	return v
}

// merge adds what another gateway knows of a pool. A version that is listed there only counts
// as listed until now.
func (h *history) merge(name string, v View, horizon time.Duration, now bootclock.Instant) {
	if h.startedAt == 0 {
		return
	}
	p := h.pool(name)
	p.completeSince = min(p.completeSince, now.Add(-v.Span))
	for software, age := range v.Ages {
		if !p.listed[software] && age < horizon {
			p.lastListed[software] = max(p.lastListed[software], now.Add(-age))
		}
	}
}

// forget drops the versions that were not listed within the horizon.
func (h *history) forget(horizon time.Duration, now bootclock.Instant) {
	for _, p := range h.pools {
		for software, at := range p.lastListed {
			if now.Sub(at) >= horizon {
				delete(p.lastListed, software)
			}
		}
	}
}
