package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/greengagegate/greengagegate/membership/memberpb"
)

// probeLoop probes one member per ProbeInterval and expires suspect and dead members.
func (m *Manager) probeLoop() {
	defer m.wg.Done()
	for {
		start := time.Now()
		if target, ok := m.nextProbeTarget(); ok {
			m.probe(target)
		}
		m.expireMembers(time.Now())
		if !m.sleep(m.timing.ProbeInterval - time.Since(start)) {
			return
		}
	}
}

// nextProbeTarget returns the next member to probe, or false if there is none.
// Each round visits all other members in a new random order.
func (m *Manager) nextProbeTarget() (Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for range 2 {
		for len(m.probeOrder) > 0 {
			process := m.probeOrder[0]
			m.probeOrder = m.probeOrder[1:]
			row, ok := m.table.rows[process]
			if ok && row.member.State != StateDead {
				return row.member, true
			}
		}
		m.shuffleProbeOrder()
	}
	return Member{}, false
}

// shuffleProbeOrder refills probeOrder. It must be called with mu held.
func (m *Manager) shuffleProbeOrder() {
	for process := range m.table.rows {
		if process != m.table.self {
			m.probeOrder = append(m.probeOrder, process)
		}
	}
	slices.Sort(m.probeOrder)
	m.random.Shuffle(len(m.probeOrder), func(i, j int) { m.probeOrder[i], m.probeOrder[j] = m.probeOrder[j], m.probeOrder[i] })
}

// probe pings a member directly, then through other members, and marks it suspect
// if no acknowledgement arrives within ProbeInterval.
func (m *Manager) probe(target Member) {
	sequence := m.newSequence()
	acked := m.registerAck(sequence)
	defer m.unregisterAck(sequence)
	ping := m.newMessage(memberpb.Type_TYPE_PING, sequence)
	m.addSuspicion(ping, target.Process)
	m.send(target.GossipAddress, ping)
	if m.waitForAck(acked, m.timing.ProbeTimeout) {
		return
	}
	m.mu.Lock()
	helpers := m.pickPeers(indirectProbeCount, func(member Member) bool {
		return member.Process != target.Process && member.State == StateAlive
	})
	m.mu.Unlock()
	for _, helper := range helpers {
		request := m.newMessage(memberpb.Type_TYPE_PING_REQ, sequence)
		request.Target = target.GossipAddress
		m.send(helper.GossipAddress, request)
	}
	if m.waitForAck(acked, m.timing.ProbeInterval-m.timing.ProbeTimeout) {
		return
	}
	m.handleFailedProbe(target)
}

// registerAck returns a channel that is closed when the ping with this sequence
// number is acknowledged.
func (m *Manager) registerAck(sequence uint64) <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	acked := make(chan struct{})
	m.pendingAcks[sequence] = acked
	return acked
}

func (m *Manager) unregisterAck(sequence uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.pendingAcks, sequence)
}

// waitForAck reports whether acked was closed within d. It also returns true when
// the manager stops, so that no member is suspected during shutdown.
func (m *Manager) waitForAck(acked <-chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-acked:
		return true
	case <-timer.C:
		return false
	case <-m.stop:
		return true
	}
}

// handleFailedProbe marks a member suspect after a failed probe. A leaving member is
// declared dead instead once it has been leaving for SuspicionTimeout.
func (m *Manager) handleFailedProbe(target Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	row, ok := m.table.rows[target.Process]
	if !ok || row.member.Incarnation != target.Incarnation {
		return
	}
	if row.member.State == StateLeaving && time.Since(row.stateSince) >= m.timing.SuspicionTimeout {
		m.declareDead(row, time.Now())
		m.notifyChanged()
	}
	if row.member.State != StateAlive {
		return
	}
	suspected := row.member
	suspected.State = StateSuspect
	m.table.set(suspected, time.Now())
	m.notifyChanged()
	m.options.Log.Info().Str("peer", target.Process).Msg("membership: member did not answer probes and is now suspect")
}

// expireMembers declares members dead after SuspicionTimeout as suspects and
// removes dead members after ForgetAfter.
func (m *Manager) expireMembers(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	changed := false
	for process, row := range m.table.rows {
		if process == m.table.self {
			continue
		}
		switch {
		case row.member.State == StateSuspect && now.Sub(row.stateSince) >= m.timing.SuspicionTimeout:
			m.declareDead(row, now)
			changed = true
		case row.member.State == StateDead && now.Sub(row.stateSince) >= m.timing.ForgetAfter:
			m.table.remove(process)
		}
	}
	if changed {
		m.notifyChanged()
	}
}

// declareDead marks a member dead. It must be called with mu held.
func (m *Manager) declareDead(row *tableRow, now time.Time) {
	dead := row.member
	dead.State = StateDead
	m.table.set(dead, now)
	m.options.Log.Info().Str("peer", dead.Process).Msg("membership: member is declared dead")
}

// rejoinLoop pings a random dead member, or a seed whose address is not in the
// table, every RejoinInterval, so that the sides of a healed network partition find
// each other again. While the table lists no other member that is not dead, it
// pings every joinRetryInterval and requests the full table.
func (m *Manager) rejoinLoop() {
	defer m.wg.Done()
	m.wg.Go(m.repeatSync)
	for {
		alone := m.isAlone()
		m.rejoin(alone)
		pause := m.timing.RejoinInterval
		if alone {
			pause = joinRetryInterval
		}
		if !m.sleep(pause) {
			return
		}
	}
}

// repeatSync requests the full table of a random member after each of syncDelays.
func (m *Manager) repeatSync() {
	for _, delay := range syncDelays {
		if !m.sleep(delay) {
			return
		}
		m.mu.Lock()
		peers := m.pickPeers(1, func(member Member) bool { return member.State == StateAlive })
		m.mu.Unlock()
		for _, peer := range peers {
			ping := m.newMessage(memberpb.Type_TYPE_PING, m.newSequence())
			ping.Sync = true
			m.send(peer.GossipAddress, ping)
		}
	}
}

// isAlone reports whether the table lists no other member that is not dead.
func (m *Manager) isAlone() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.table.members()) <= 1
}

// rejoin pings a rejoin target, if there is one, and requests its full table if
// fullSync is true.
func (m *Manager) rejoin(fullSync bool) {
	process, address := m.rejoinTarget()
	if address == "" {
		return
	}
	ping := m.newMessage(memberpb.Type_TYPE_PING, m.newSequence())
	ping.Sync = fullSync
	m.addSuspicion(ping, process)
	m.send(address, ping)
}

// rejoinTarget returns a random dead member or a seed whose address is not in the
// table. process is empty for a seed; address is empty if there is no target.
func (m *Manager) rejoinTarget() (process, address string) {
	var seeds []string
	if m.options.Seeds != nil {
		seeds = m.options.Seeds()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	known := make(map[string]bool)
	var targets []Member
	for _, row := range m.table.rows {
		known[row.member.GossipAddress] = true
		if row.member.State == StateDead {
			targets = append(targets, row.member)
		}
	}
	for _, seed := range seeds {
		if !known[seed] {
			targets = append(targets, Member{GossipAddress: seed})
		}
	}
	if len(targets) == 0 {
		return "", ""
	}
	slices.SortFunc(targets, func(a, b Member) int { return strings.Compare(a.GossipAddress, b.GossipAddress) })
	target := targets[m.random.IntN(len(targets))]
	return target.Process, target.GossipAddress
}
