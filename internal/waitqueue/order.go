package waitqueue

import (
	"slices"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/catalog"
)

// Next returns the entry that is first in order, without the entries for which skip reports
// true, or nil if there is none. A nil skip skips nothing.
//
// The order is by class, fair start tag and deadline. A class with an overdue entry comes
// first while agedCredit is not negative: more urgent classes get at most
// Tokens/agedShare tokens of service between two of its requests. isAged is true for such an
// entry.
func (q *Queue) Next(now bootclock.Instant, skip func(*Entry) bool) (entry *Entry, isAged bool) {
	for _, c := range q.classes {
		if entry = c.first(skip); entry != nil {
			break
		}
	}
	if entry == nil || q.agedCredit < 0 {
		return entry, false
	}
	if aged := q.firstAged(entry.class.rank, now, skip); aged != nil {
		return aged, true
	}
	return entry, false
}

// firstAged returns the first entry of the class behind rank whose overdue entry has been
// overdue for longest. Classes of requests beyond fair shares count if no other has one.
func (q *Queue) firstAged(rank int, now bootclock.Instant, skip func(*Entry) bool) *Entry {
	var best *Entry
	var overdueAt bootclock.Instant
	for _, c := range q.classes[rank+1:] {
		if best != nil && c.rank >= catalog.PriorityCount && best.class.rank < catalog.PriorityCount {
			break
		}
		at, ok := c.firstOverdue(now)
		if !ok || best != nil && !at.Before(overdueAt) {
			continue
		}
		if entry := c.first(skip); entry != nil {
			best, overdueAt = entry, at
		}
	}
	return best
}

// firstOverdue returns when the first overdue entry of the class became overdue.
func (c *class) firstOverdue(now bootclock.Instant) (at bootclock.Instant, ok bool) {
	if c.waiting == 0 {
		return 0, false
	}
	for _, f := range c.flows {
		for _, e := range f.entries {
			if e.isOverdue(now) && (!ok || e.overdueAt().Before(at)) {
				at, ok = e.overdueAt(), true
			}
		}
	}
	return at, ok
}

// first returns the first entry of the class by start tag and deadline.
func (c *class) first(skip func(*Entry) bool) *Entry {
	if c.waiting == 0 {
		return nil
	}
	var best *Entry
	for _, f := range c.flows {
		for _, e := range f.entries {
			if skip != nil && skip(e) {
				continue
			}
			if best == nil || precedes(e, best) {
				best = e
			}
			break
		}
	}
	return best
}

// last returns the entry that is last in order, or nil.
func (q *Queue) last() *Entry {
	for _, c := range slices.Backward(q.classes[:]) {
		var last *Entry
		var lastTag float64
		for _, f := range c.flows {
			if len(f.entries) == 0 {
				continue
			}
			e := f.entries[len(f.entries)-1]
			tag := f.tagOf(e)
			if last == nil || tag > lastTag || tag == lastTag && last.BeginBy.Before(e.BeginBy) {
				last, lastTag = e, tag
			}
		}
		if last != nil {
			return last
		}
	}
	return nil
}

// tagOf returns the start tag that an entry has, or would have, behind those entries of its
// flow that precede it.
func (f *flow) tagOf(e *Entry) float64 {
	tag := f.startTag(e.class)
	for _, other := range f.entries {
		if other == e || e.BeginBy.Before(other.BeginBy) {
			break
		}
		tag += other.Tokens / f.weight
	}
	return tag
}

// precedes reports whether a leaves before b if neither is overdue.
func precedes(a, b *Entry) bool {
	if a.class.rank != b.class.rank {
		return a.class.rank < b.class.rank
	}
	tagA, tagB := a.flow.tagOf(a), b.flow.tagOf(b)
	if tagA != tagB {
		return tagA < tagB
	}
	return a.BeginBy.Before(b.BeginBy)
}
