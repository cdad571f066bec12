package membership

import (
	"encoding/binary"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/greengagegate/greengagegate/membership/memberpb"
)

// bucketCount is the number of parts that tables are compared in.
const bucketCount = 32

// record is one row of the table.
type record struct {
	member Member
	// since is when the present state was learnt, on this process's own clock.
	since time.Time
	// sends is how often the row has been piggybacked since it changed.
	sends int
}

// table holds the rows by process name. Its owner serialises access.
type table struct {
	self    string
	rows    map[string]*record
	digests [bucketCount]uint32
}

func newTable(self Member, now time.Time) *table {
	t := &table{self: self.Process, rows: make(map[string]*record)}
	t.set(self, now)
	return t
}

// overrides reports whether news beats what is known: a higher incarnation
// always, within one incarnation the later state.
func overrides(news, known Member) bool {
	if news.Incarnation != known.Incarnation {
		return news.Incarnation > known.Incarnation
	}
	return news.State > known.State
}

// merge takes news about another member and reports whether the table changed.
// Sends is how often the row counts as piggybacked already.
func (t *table) merge(news Member, now time.Time, sends int) bool {
	known, ok := t.rows[news.Process]
	if ok && !overrides(news, known.member) {
		return false
	}
	if ok {
		news.Revision = max(news.Revision, known.member.Revision)
	}
	t.set(news, now)
	t.rows[news.Process].sends = sends
	return true
}

// set replaces a row and marks it for spreading.
func (t *table) set(member Member, now time.Time) {
	if known, ok := t.rows[member.Process]; ok {
		t.toggleDigest(known.member)
	}
	t.rows[member.Process] = &record{member: member, since: now}
	t.toggleDigest(member)
}

func (t *table) remove(process string) {
	known, ok := t.rows[process]
	if !ok {
		return
	}
	t.toggleDigest(known.member)
	delete(t.rows, process)
}

// toggleDigest adds a row to, or takes it out of, its bucket's digest. Dead
// rows are left out, since processes forget them at different times.
func (t *table) toggleDigest(member Member) {
	if member.State == StateDead {
		return
	}
	digest := xxhash.New()
	_, _ = digest.WriteString(member.Process)
	var fields [9]byte
	binary.LittleEndian.PutUint64(fields[:], member.Incarnation)
	fields[8] = byte(member.State)
	_, _ = digest.Write(fields[:])
	t.digests[bucketOf(member.Process)] ^= uint32(digest.Sum64())
}

func bucketOf(process string) int {
	return int(xxhash.Sum64String(process) % bucketCount)
}

// members returns all rows but dead ones, ordered by process.
func (t *table) members() []Member {
	list := make([]Member, 0, len(t.rows))
	for _, row := range t.rows {
		if row.member.State != StateDead {
			list = append(list, row.member)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Process < list[j].Process })
	return list
}

// freshest returns up to limit rows that were sent fewer than maxSends times
// since they changed, the least sent first, and counts them as sent.
func (t *table) freshest(limit, maxSends int) []Member {
	var rows []*record
	for _, row := range t.rows {
		if row.sends < maxSends {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool {
		if rows[i].sends != rows[j].sends {
			return rows[i].sends < rows[j].sends
		}
		return rows[i].member.Process < rows[j].member.Process
	})
	rows = rows[:min(limit, len(rows))]
	list := make([]Member, len(rows))
	for i, row := range rows {
		row.sends++
		list[i] = row.member
	}
	return list
}

// differingBuckets returns the buckets whose digests differ from a peer's.
func (t *table) differingBuckets(digests []uint32) []int {
	if len(digests) != bucketCount {
		return nil
	}
	var buckets []int
	for bucket, digest := range t.digests {
		if digest != digests[bucket] {
			buckets = append(buckets, bucket)
		}
	}
	return buckets
}

// inBucket returns the rows of a bucket that are not dead.
func (t *table) inBucket(bucket int) []Member {
	var list []Member
	for _, row := range t.rows {
		if row.member.State != StateDead && bucketOf(row.member.Process) == bucket {
			list = append(list, row.member)
		}
	}
	return list
}

func toEntry(m Member) *memberpb.Entry {
	return &memberpb.Entry{
		Process: m.Process, Address: m.Address, GossipAddress: m.GossipAddress,
		Role: string(m.Role), Zone: m.Zone, Region: m.Region,
		Incarnation: m.Incarnation, State: uint32(m.State),
	}
}

func fromEntry(e *memberpb.Entry) Member {
	return Member{
		Process: e.Process, Address: e.Address, GossipAddress: e.GossipAddress,
		Role: Role(e.Role), Zone: e.Zone, Region: e.Region,
		Incarnation: e.Incarnation, State: State(min(e.State, uint32(StateDead))),
	}
}
