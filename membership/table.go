package membership

import (
	"encoding/binary"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/greengagegate/greengagegate/membership/memberpb"
)

// bucketCount is the number of buckets into which rows are hashed. Tables are
// compared by one digest per bucket.
const bucketCount = 32

// tableRow is one row of the table.
type tableRow struct {
	member Member
	// stateSince is when this process learned of the current state, on its own clock.
	stateSince time.Time
	// sendCount is the number of datagrams on which the row was piggybacked since it
	// changed. It starts at maxSends for a row that is not to be piggybacked; see
	// mergeMessage.
	sendCount int
}

// table holds the rows by process name. It is not safe for concurrent use.
type table struct {
	self    string
	rows    map[string]*tableRow
	digests [bucketCount]uint32
}

func newTable(self Member, now time.Time) *table {
	t := &table{self: self.Process, rows: make(map[string]*tableRow)}
	t.set(self, now)
	return t
}

// overrides reports whether update replaces the known entry. A higher incarnation
// always does; within one incarnation, a state that follows in the order of the State
// constants does.
func overrides(update, known Member) bool {
	if update.Incarnation != known.Incarnation {
		return update.Incarnation > known.Incarnation
	}
	return update.State > known.State
}

// merge applies an update about another member and reports whether the table
// changed. sendCount is the initial piggyback count of the changed row.
func (t *table) merge(update Member, now time.Time, sendCount int) bool {
	known, ok := t.rows[update.Process]
	if ok && !overrides(update, known.member) {
		return false
	}
	if ok {
		update.Revision = max(update.Revision, known.member.Revision)
	}
	t.set(update, now)
	t.rows[update.Process].sendCount = sendCount
	return true
}

// set replaces a row and resets its piggyback count.
func (t *table) set(member Member, now time.Time) {
	if known, ok := t.rows[member.Process]; ok {
		t.toggleDigest(known.member)
	}
	t.rows[member.Process] = &tableRow{member: member, stateSince: now}
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

// toggleDigest adds a row to its bucket's digest or removes it, by XOR. Dead rows
// are not part of digests, since processes remove them at different times.
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

// members returns all members that are not dead, ordered by process name.
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

// takePiggyback returns up to limit members whose rows were sent fewer than maxSends
// times since they changed, least sent first, and increments their send counts.
func (t *table) takePiggyback(limit, maxSends int) []Member {
	var rows []*tableRow
	for _, row := range t.rows {
		if row.sendCount < maxSends {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool {
		if rows[i].sendCount != rows[j].sendCount {
			return rows[i].sendCount < rows[j].sendCount
		}
		return rows[i].member.Process < rows[j].member.Process
	})
	rows = rows[:min(limit, len(rows))]
	list := make([]Member, len(rows))
	for i, row := range rows {
		row.sendCount++
		list[i] = row.member
	}
	return list
}

// differingBuckets returns the buckets whose digests differ from a peer's. It
// returns nil if the peer sent a different number of digests.
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

// bucketRows returns the members of a bucket that are not dead, in no particular order.
func (t *table) bucketRows(bucket int) []Member {
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
