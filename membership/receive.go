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
	// syncDatagramInterval is the pause between the datagrams of a full table, so
	// that the receiver does not drop any.
	syncDatagramInterval = 2 * time.Millisecond
	// entryOverheadBytes is the encoded size of the tag and length before each entry.
	entryOverheadBytes = 3
)

func (m *Manager) receiveLoop() {
	defer m.wg.Done()
	buffer := make([]byte, receiveBufferBytes)
	for {
		n, from, err := m.options.Transport.Receive(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			m.options.Log.Debug().Err(err).Msg("membership: receiving a datagram failed; waiting for the next one")
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
	m.mergeMessage(message)
	switch message.Type {
	case memberpb.Type_TYPE_PING:
		m.handlePing(message, from)
	case memberpb.Type_TYPE_ACK:
		m.handleAck(message.Sequence)
	case memberpb.Type_TYPE_PING_REQ:
		m.handlePingReq(message, from)
	}
}

// mergeMessage merges the entries of a message into the table.
func (m *Manager) mergeMessage(message *memberpb.Message) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	sender := fromEntry(message.Sender)
	changed := m.mergeUpdate(sender, now, 0)
	for _, entry := range message.Entries {
		changed = m.mergeUpdate(fromEntry(entry), now, 0) || changed
	}
	// Rows from the sender's table are widely known already, so they are merged with
	// the maximum send count and not piggybacked.
	for _, entry := range message.Table {
		changed = m.mergeUpdate(fromEntry(entry), now, m.maxSends()) || changed
	}
	if row := m.table.rows[sender.Process]; row != nil && row.member.Incarnation == sender.Incarnation {
		row.member.Revision = max(row.member.Revision, message.Revision)
	}
	if changed {
		m.notifyChanged()
	}
}

// mergeUpdate merges an update about one member and reports whether the table
// changed. An update about this process that overrides its own entry is refuted
// with a higher incarnation. It must be called with mu held.
func (m *Manager) mergeUpdate(update Member, now time.Time, sendCount int) bool {
	if update.Process == "" {
		return false
	}
	if update.Process != m.table.self {
		return m.table.merge(update, now, sendCount)
	}
	self := m.table.rows[m.table.self].member
	if !overrides(update, self) {
		return false
	}
	self.Incarnation = update.Incarnation + 1
	m.table.set(self, now)
	metrics.Counter("membership.refutations").Inc(1)
	return true
}

// handlePing acknowledges a ping. The acknowledgement carries the rows of one
// bucket in which the tables differ, or the full table if the ping requests it.
func (m *Manager) handlePing(ping *memberpb.Message, from string) {
	ack := m.newMessage(memberpb.Type_TYPE_ACK, ping.Sequence)
	m.addSuspicion(ack, ping.Sender.Process)
	remaining := appendRows(ack, m.rowsToSend(ping))
	m.send(from, ack)
	if ping.Sync && len(remaining) > 0 {
		go m.sendRemainingRows(from, remaining)
	}
}

// rowsToSend returns the full table, that is all members that are not dead, if the
// ping requests it. Otherwise it returns the rows, in random order, of one random
// bucket in which the tables differ.
func (m *Manager) rowsToSend(ping *memberpb.Message) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	if ping.Sync {
		return m.table.members()
	}
	buckets := m.table.differingBuckets(ping.Digests)
	if len(buckets) == 0 {
		return nil
	}
	rows := m.table.bucketRows(buckets[m.random.IntN(len(buckets))])
	slices.SortFunc(rows, func(a, b Member) int { return strings.Compare(a.Process, b.Process) })
	m.random.Shuffle(len(rows), func(i, j int) { rows[i], rows[j] = rows[j], rows[i] })
	return rows
}

// sendRemainingRows sends the rows of a full table that did not fit in the first
// datagram.
func (m *Manager) sendRemainingRows(to string, remaining []Member) {
	for len(remaining) > 0 && m.sleep(syncDatagramInterval) {
		message := m.newMessage(memberpb.Type_TYPE_ACK, 0)
		message.Entries = nil
		remaining = appendRows(message, remaining)
		m.send(to, message)
	}
}

// appendRows adds rows to the message until the datagram is full and returns the
// rows that did not fit.
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

// handleAck wakes the goroutine that waits for this sequence number, or forwards the
// acknowledgement to the member that requested an indirect probe.
func (m *Manager) handleAck(sequence uint64) {
	m.mu.Lock()
	waiter := m.pendingAcks[sequence]
	delete(m.pendingAcks, sequence)
	request, relayed := m.relays[sequence]
	delete(m.relays, sequence)
	m.mu.Unlock()
	if waiter != nil {
		close(waiter)
	}
	if relayed {
		m.send(request.requester, m.newMessage(memberpb.Type_TYPE_ACK, request.sequence))
	}
}

// handlePingReq pings a target on behalf of another member and records where to
// forward the acknowledgement. It also drops expired relays.
func (m *Manager) handlePingReq(request *memberpb.Message, from string) {
	sequence := m.newSequence()
	m.mu.Lock()
	now := time.Now()
	for pendingSequence, pending := range m.relays {
		if now.After(pending.expires) {
			delete(m.relays, pendingSequence)
		}
	}
	m.relays[sequence] = relay{requester: from, sequence: request.Sequence, expires: now.Add(m.timing.ProbeInterval)}
	m.mu.Unlock()
	m.send(request.Target, m.newMessage(memberpb.Type_TYPE_PING, sequence))
}
