package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/greengagegate/greengagegate/membership/memberpb"
)

// probeLoop probes one member each interval and ages suspects.
func (m *Manager) probeLoop() {
	defer m.done.Done()
	for {
		start := time.Now()
		if target, ok := m.nextTarget(); ok {
			m.probe(target)
		}
		m.age(time.Now())
		if !m.sleep(m.timing.ProbeInterval - time.Since(start)) {
			return
		}
	}
}

// nextTarget walks the other members in a random order that is renewed after each round.
func (m *Manager) nextTarget() (Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for range 2 {
		for len(m.order) > 0 {
			process := m.order[0]
			m.order = m.order[1:]
			row, ok := m.table.rows[process]
			if ok && row.member.State != StateDead {
				return row.member, true
			}
		}
		m.renewOrder()
	}
	return Member{}, false
}

func (m *Manager) renewOrder() {
	for process := range m.table.rows {
		if process != m.table.self {
			m.order = append(m.order, process)
		}
	}
	slices.Sort(m.order)
	m.random.Shuffle(len(m.order), func(i, j int) { m.order[i], m.order[j] = m.order[j], m.order[i] })
}

// probe pings a member, then asks others to, and suspects it when none answers.
func (m *Manager) probe(target Member) {
	sequence := m.nextSequence()
	answered := m.expect(sequence)
	defer m.forget(sequence)
	ping := m.newMessage(memberpb.Type_TYPE_PING, sequence)
	m.addNewsAbout(ping, target.Process)
	m.send(target.GossipAddress, ping)
	if m.await(answered, m.timing.ProbeTimeout) {
		return
	}
	m.mu.Lock()
	helpers := m.pick(indirectProbes, func(member Member) bool {
		return member.Process != target.Process && member.State == StateAlive
	})
	m.mu.Unlock()
	for _, helper := range helpers {
		request := m.newMessage(memberpb.Type_TYPE_PING_REQ, sequence)
		request.Target = target.GossipAddress
		m.send(helper.GossipAddress, request)
	}
	if m.await(answered, m.timing.ProbeInterval-m.timing.ProbeTimeout) {
		return
	}
	m.suspect(target)
}

func (m *Manager) expect(sequence uint64) <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	answered := make(chan struct{})
	m.pending[sequence] = answered
	return answered
}

func (m *Manager) forget(sequence uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.pending, sequence)
}

func (m *Manager) await(answered <-chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-answered:
		return true
	case <-timer.C:
		return false
	case <-m.stop:
		return true
	}
}

func (m *Manager) suspect(target Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	row, ok := m.table.rows[target.Process]
	if !ok || row.member.Incarnation != target.Incarnation {
		return
	}
	if row.member.State == StateLeaving && time.Since(row.since) >= m.timing.SuspicionTimeout {
		m.declareDead(row, time.Now())
		m.notify()
	}
	if row.member.State != StateAlive {
		return
	}
	suspected := row.member
	suspected.State = StateSuspect
	m.table.set(suspected, time.Now())
	m.notify()
	m.options.Log.Info().Str("peer", target.Process).Msg("membership: member is suspect")
}

// age turns old suspects into dead members and forgets the long dead.
func (m *Manager) age(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	changed := false
	for process, row := range m.table.rows {
		if process == m.table.self {
			continue
		}
		switch {
		case row.member.State == StateSuspect && now.Sub(row.since) >= m.timing.SuspicionTimeout:
			m.declareDead(row, now)
			changed = true
		case row.member.State == StateDead && now.Sub(row.since) >= m.timing.ForgetAfter:
			m.table.remove(process)
		}
	}
	if changed {
		m.notify()
	}
}

func (m *Manager) declareDead(row *record, now time.Time) {
	dead := row.member
	dead.State = StateDead
	m.table.set(dead, now)
	m.options.Log.Info().Str("peer", dead.Process).Msg("membership: member is dead")
}

// rejoinLoop asks seeds for their table until other members are known, and
// later looks at seeds and dead members now and then, so that parts of a fleet
// that were cut apart find each other again.
func (m *Manager) rejoinLoop() {
	defer m.done.Done()
	m.done.Go(m.syncAgain)
	for {
		alone := m.alone()
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

// syncAgain asks random members for their whole table some times after the start.
func (m *Manager) syncAgain() {
	for _, delay := range syncDelays {
		if !m.sleep(delay) {
			return
		}
		m.mu.Lock()
		peers := m.pick(1, func(member Member) bool { return member.State == StateAlive })
		m.mu.Unlock()
		for _, peer := range peers {
			ping := m.newMessage(memberpb.Type_TYPE_PING, m.nextSequence())
			ping.Sync = true
			m.send(peer.GossipAddress, ping)
		}
	}
}

func (m *Manager) alone() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.table.members()) <= 1
}

func (m *Manager) rejoin(alone bool) {
	process, address := m.rejoinTarget()
	if address == "" {
		return
	}
	ping := m.newMessage(memberpb.Type_TYPE_PING, m.nextSequence())
	ping.Sync = alone
	m.addNewsAbout(ping, process)
	m.send(address, ping)
}

// rejoinTarget picks a random dead member, or a seed that is not known to be
// alive. The process is "" for a seed.
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
