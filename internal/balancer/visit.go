package balancer

import "time"

// Attempt is a request's stay at an upstream.
type Attempt struct {
	balancer *Balancer
	state    *upstreamState
	missing  int64
	left     bool
	id       string
	salt     string
	parts    []Part
}

// RecordFirstResponse notes that the upstream has read the prompt.
func (a *Attempt) RecordFirstResponse() {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	a.state.usual.note(a.state.running, a.state.backlog, a.balancer.now())
	a.state.backlog -= a.missing
	a.missing = 0
	if len(a.parts) == 0 {
		return
	}
	now := a.balancer.now()
	ids := make([]string, len(a.parts))
	for i, part := range a.parts {
		ids[i] = part.ID
		key := a.salt + part.ID
		if _, ok := a.state.parts[key]; ok {
			a.state.parts[key] = held{used: now, mark: a.state.turnover, read: true}
		}
	}
	a.balancer.tell(CacheReport{Upstream: a.id, Salt: a.salt, Parts: ids})
}

// Done notes the end of the stay. It is safe to call more than once.
func (a *Attempt) Done() {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	if a.left {
		return
	}
	a.left = true
	a.state.usual.note(a.state.running, a.state.backlog, a.balancer.now())
	a.state.running--
	a.state.backlog -= a.missing
}

// RecordSuccess notes a sound answer.
func (a *Attempt) RecordSuccess() {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	a.state.noteOutcome(false, a.balancer.now())
	a.state.down = false
}

// RecordFailure notes an answer that was lost or a failure of the upstream's own.
func (a *Attempt) RecordFailure() {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	a.state.noteOutcome(true, a.balancer.now())
}

// MarkUnreachable notes that the upstream could not be reached. It gets nothing until
// Reached is called. The result says that this is news.
func (a *Attempt) MarkUnreachable() bool {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	former := a.state.down
	a.state.down = true
	return !former
}

// MarkReplaced notes that another life answered at the upstream's address. It gets
// nothing until it is listed anew. The result says that this is news.
func (a *Attempt) MarkReplaced() bool {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	former := a.state.ended
	a.state.ended = true
	return !former
}

// RecordRefusal notes that the upstream refused the request, and is left alone for a moment.
func (a *Attempt) RecordRefusal(pause time.Duration) {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	a.state.restUntil = max(a.state.restUntil, a.balancer.now().Add(pause))
}
