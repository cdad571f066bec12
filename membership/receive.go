package membership

import (
	"errors"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/greengagegate/greengagegate/internal/metrics"
	"github.com/greengagegate/greengagegate/membership/memberpb"
	"google.golang.org/protobuf/proto"
)

const (
	receiveBufferBytes = 2048
	// syncPause spaces the datagrams of a whole table, so that none is dropped.
	syncPause = 2 * time.Millisecond
	// entryOverheadBytes is the tag and the length before each entry.
	entryOverheadBytes = 3
)

func (m *Manager) receiveLoop() {
	defer m.done.Done()
	buffer := make([]byte, receiveBufferBytes)
	for {
		n, from, err := m.options.Transport.Receive(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			m.options.Log.Debug().Err(err).Msg("membership: receive failed")
			continue
		}
		metrics.Counter("membership.received_bytes").Inc(int64(n))
		message, err := open(m.options.Key, buffer[:n])
		if err != nil || message.Sender == nil {
			metrics.Counter("membership.rejected_datagrams").Inc(1)
			continue
		}
		m.handle(message, from)
	}
}

func (m *Manager) handle(message *memberpb.Message, from string) {
	m.absorb(message)
	switch message.Type {
	case memberpb.Type_TYPE_PING:
		m.answer(message, from)
	case memberpb.Type_TYPE_ACK:
		m.acknowledge(message.Sequence)
	case memberpb.Type_TYPE_PING_REQ:
		m.probeFor(message, from)
	}
}

// absorb merges what a datagram says.
func (m *Manager) absorb(message *memberpb.Message) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	sender := fromEntry(message.Sender)
	changed := m.mergeOne(sender, now, 0)
	for _, entry := range message.Entries {
		changed = m.mergeOne(fromEntry(entry), now, 0) || changed
	}
	// Rows that another table already held are known widely and not spread on.
	for _, entry := range message.Table {
		changed = m.mergeOne(fromEntry(entry), now, m.maxSends()) || changed
	}
	if row := m.table.rows[sender.Process]; row != nil && row.member.Incarnation == sender.Incarnation {
		row.member.Revision = max(row.member.Revision, message.Revision)
	}
	if changed {
		m.notify()
	}
}

// mergeOne merges news about one member; m.mu is held. News about the process
// itself that is worse than the truth is refuted with a higher incarnation.
func (m *Manager) mergeOne(news Member, now time.Time, sends int) bool {
	if news.Process == "" {
		return false
	}
	if news.Process != m.table.self {
		return m.table.merge(news, now, sends)
	}
	self := m.table.rows[m.table.self].member
	if !overrides(news, self) {
		return false
	}
	self.Incarnation = news.Incarnation + 1
	m.table.set(self, now)
	metrics.Counter("membership.refutations").Inc(1)
	return true
}

// answer acknowledges a ping, with rows in which the tables differ. The whole
// table goes to a process that asks for it.
func (m *Manager) answer(ping *memberpb.Message, from string) {
	ack := m.newMessage(memberpb.Type_TYPE_ACK, ping.Sequence)
	m.addNewsAbout(ack, ping.Sender.Process)
	rest := appendRows(ack, m.rowsFor(ping))
	m.send(from, ack)
	if ping.Sync && len(rest) > 0 {
		go m.sendRest(from, rest)
	}
}

// rowsFor returns the whole table, or the rows of one bucket in which the
// sender's table differs, in random order.
func (m *Manager) rowsFor(ping *memberpb.Message) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	if ping.Sync {
		return m.table.members()
	}
	buckets := m.table.differingBuckets(ping.Digests)
	if len(buckets) == 0 {
		return nil
	}
	rows := m.table.inBucket(buckets[m.random.IntN(len(buckets))])
	slices.SortFunc(rows, func(a, b Member) int { return strings.Compare(a.Process, b.Process) })
	m.random.Shuffle(len(rows), func(i, j int) { rows[i], rows[j] = rows[j], rows[i] })
	return rows
}

// sendRest sends the part of a whole table that did not fit the first datagram.
func (m *Manager) sendRest(to string, rest []Member) {
	for len(rest) > 0 && m.sleep(syncPause) {
		part := m.newMessage(memberpb.Type_TYPE_ACK, 0)
		part.Entries = nil
		rest = appendRows(part, rest)
		m.send(to, part)
	}
}

// appendRows adds rows until the datagram is full and returns those left.
func appendRows(message *memberpb.Message, rows []Member) []Member {
	size := proto.Size(message) + macBytes
	for i, row := range rows {
		entry := toEntry(row)
		size += proto.Size(entry) + entryOverheadBytes
		if size > maxDatagramBytes {
			return rows[i:]
		}
		message.Table = append(message.Table, entry)
	}
	return nil
}

// acknowledge wakes the prober that waits for a sequence number, or passes the
// acknowledgement on to the process that asked for the probe.
func (m *Manager) acknowledge(sequence uint64) {
	m.mu.Lock()
	waiter := m.pending[sequence]
	delete(m.pending, sequence)
	forward, relayed := m.relays[sequence]
	delete(m.relays, sequence)
	m.mu.Unlock()
	if waiter != nil {
		close(waiter)
	}
	if relayed {
		m.send(forward.to, m.newMessage(memberpb.Type_TYPE_ACK, forward.sequence))
	}
}

// probeFor pings a target on another process's behalf.
func (m *Manager) probeFor(request *memberpb.Message, from string) {
	sequence := m.nextSequence()
	m.mu.Lock()
	now := time.Now()
	for old, pending := range m.relays {
		if now.After(pending.expires) {
			delete(m.relays, old)
		}
	}
	m.relays[sequence] = relay{to: from, sequence: request.Sequence, expires: now.Add(m.timing.ProbeInterval)}
	m.mu.Unlock()
	m.send(request.Target, m.newMessage(memberpb.Type_TYPE_PING, sequence))
}
