package sizesplit

import (
	"cmp"
	"slices"

	"github.com/greengagegate/greengagegate/internal/rendezvous"
)

// Engine identifies an engine of a pool.
type Engine struct{ ID, Zone string }

// Layout is the order in which a pool's engines belong to its parts: in each zone the first
// ones to the short part, the last ones to the long part. It is the same at all gateways, and
// the other engines keep their order when one comes or goes.
type Layout struct {
	// zones holds the ids of each zone's engines in order; zones are ordered by name.
	zones [][]string
}

// NewLayout returns the layout of a pool.
func NewLayout(pool string, engines []Engine) *Layout {
	byZone := make(map[string][]string)
	for _, e := range engines {
		byZone[e.Zone] = append(byZone[e.Zone], e.ID)
	}
	names := make([]string, 0, len(byZone))
	for name := range byZone {
		names = append(names, name)
	}
	slices.Sort(names)
	l := &Layout{}
	for _, name := range names {
		l.zones = append(l.zones, rendezvous.Top(pool, byZone[name], len(byZone[name])))
	}
	return l
}

// Count returns the number of usable engines.
func (l *Layout) Count(usable func(id string) bool) int {
	count := 0
	for _, ids := range l.zones {
		for _, id := range ids {
			if usable(id) {
				count++
			}
		}
	}
	return count
}

// Assign calls set with the part of each usable engine. Each zone gets its share of both
// parts, and at least one engine of each if it has two and the parts have any; the parts can
// therefore be larger than counts by up to the number of zones. Engines that are not usable
// are not assigned.
func (l *Layout) Assign(counts Counts, usable func(id string) bool, set func(id string, part Part)) {
	zones := make([]zoneSeats, len(l.zones))
	for i, ids := range l.zones {
		for _, id := range ids {
			if usable(id) {
				zones[i].ids = append(zones[i].ids, id)
			}
		}
	}
	if counts[PartShort] > 0 && counts[PartLong] > 0 {
		apportion(zones, counts[PartShort], PartShort)
		apportion(zones, counts[PartLong], PartLong)
	}
	for _, z := range zones {
		for i, id := range z.ids {
			switch {
			case i < z.seats[PartShort]:
				set(id, PartShort)
			case i >= len(z.ids)-z.seats[PartLong]:
				set(id, PartLong)
			default:
				set(id, PartShared)
			}
		}
	}
}

// zoneSeats holds the usable engines of a zone and how many of them belong to each part.
type zoneSeats struct {
	ids   []string
	seats Counts
}

// available returns how many more engines of the zone can belong to a part. A zone with two
// or more engines keeps one for the other part.
func (z *zoneSeats) available(part Part) int {
	other := PartShort + PartLong - part
	reserved := z.seats[other]
	if reserved == 0 && len(z.ids) > 1 {
		reserved = 1
	}
	return len(z.ids) - reserved - z.seats[part]
}

// apportion gives each zone with two or more engines one engine of a part, and the rest of
// count one by one to the zone that has the fewest for its size (Sainte-Laguë). One engine
// more thus changes one zone only.
func apportion(zones []zoneSeats, count int, part Part) {
	for i := range zones {
		if len(zones[i].ids) > 1 {
			zones[i].seats[part]++
			count--
		}
	}
	for ; count > 0; count-- {
		best := -1
		for i := range zones {
			z := &zones[i]
			if z.available(part) > 0 && (best < 0 || compareClaims(z, &zones[best], part) > 0) {
				best = i
			}
		}
		if best < 0 {
			return
		}
		zones[best].seats[part]++
	}
}

// compareClaims compares the claims of two zones to one more engine of a part.
func compareClaims(a, b *zoneSeats, part Part) int {
	return cmp.Compare(len(a.ids)*(2*b.seats[part]+1), len(b.ids)*(2*a.seats[part]+1))
}
