package configsync

import "time"

// Fresh implements object.Source. It reports whether a change of the
// configuration that was accepted longer ago than Fleet.StaleAfter would be
// known here. It is cheap enough to ask for each request.
func (m *Manager) Fresh() bool {
	return m.Current() != nil && m.evidence.fresh()
}

// EvidenceAge returns how long ago the revision in force was known to be the newest.
func (m *Manager) EvidenceAge() time.Duration { return m.evidence.age() }
