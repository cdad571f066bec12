package membership

import (
	"errors"
	"net"
	"time"

	"github.com/greengagegate/greengagegate/internal/metrics"
	"github.com/greengagegate/greengagegate/membership/memberpb"
	"google.golang.org/protobuf/proto"
)

const (
	receiveBufferBytes = 2048
	// syncPause spaces the datagrams of a whole table, so that none is dropped.
	syncPause = 2 * time.Millisecond
	// messageOverheadBytes is kept free in a datagram for all but its entries.
	messageOverheadBytes = 320
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
	changed := m.mergeOne(sender, now)
	for _, entry := range message.Entries {
		if m.mergeOne(fromEntry(entry), now) {
			changed = true
		}
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
func (m *Manager) mergeOne(news Member, now time.Time) bool {
	if news.Process == "" {
		return false
	}
	if news.Process != m.table.self {
		return m.table.merge(news, now)
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

// answer acknowledges a ping, with the rows in which the tables differ. The
// whole table goes to a process that asks for it.
func (m *Manager) answer(ping *memberpb.Message, from string) {
	ack := m.newMessage(memberpb.Type_TYPE_ACK, ping.Sequence)
	m.addNewsAbout(ack, ping.Sender.Process)
	m.mu.Lock()
	var differing []Member
	if ping.Sync {
		differing = m.table.members()
	} else {
		differing = m.table.inDifferingBuckets(ping.Digests)
		m.random.Shuffle(len(differing), func(i, j int) { differing[i], differing[j] = differing[j], differing[i] })
	}
	m.mu.Unlock()
	rest := appendEntries(ack, differing)
	m.send(from, ack)
	if ping.Sync && len(rest) > 0 {
		go m.sendRest(from, rest)
	}
}

// sendRest sends the part of a whole table that did not fit the first datagram.
func (m *Manager) sendRest(to string, rest []Member) {
	for len(rest) > 0 && m.sleep(syncPause) {
		part := m.newMessage(memberpb.Type_TYPE_ACK, 0)
		part.Entries = nil
		rest = appendEntries(part, rest)
		m.send(to, part)
	}
}

// appendEntries adds rows until the datagram is full and returns those left.
func appendEntries(message *memberpb.Message, rows []Member) []Member {
	size := messageOverheadBytes
	for _, entry := range message.Entries {
		size += proto.Size(entry) + 2
	}
	for i, row := range rows {
		entry := toEntry(row)
		size += proto.Size(entry) + 2
		if size > maxDatagramBytes && i > 0 {
			return rows[i:]
		}
		message.Entries = append(message.Entries, entry)
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
