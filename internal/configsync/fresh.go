package configsync

import "time"

// IsFresh implements object.Source. It reports whether this process would know of any
// change of the configuration that was accepted more than Fleet.StaleAfter ago. It is
// cheap enough to be called for each request.
func (m *Manager) IsFresh() bool {
	return m.Current() != nil && m.evidence.isFresh()
}

// EvidenceAge returns the time since the current revision was last known to be the newest.
// It is more than a century if there is no evidence yet.
func (m *Manager) EvidenceAge() time.Duration { return m.evidence.age() }
