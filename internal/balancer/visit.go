package balancer

import "time"

// Visit is a request's stay at an upstream.
type Visit struct {
	chooser *Chooser
	state   *upstreamState
	missing int64
	left    bool
	id      string
	salt    string
	parts   []Part
}

// Started notes that the upstream has read the prompt.
func (v *Visit) Started() {
	v.chooser.mu.Lock()
	defer v.chooser.mu.Unlock()
	v.state.usual.note(v.state.running, v.state.backlog, v.chooser.now())
	v.state.backlog -= v.missing
	v.missing = 0
	if len(v.parts) == 0 {
		return
	}
	now := v.chooser.now()
	ids := make([]string, len(v.parts))
	for i, part := range v.parts {
		ids[i] = part.ID
		key := v.salt + part.ID
		if _, ok := v.state.parts[key]; ok {
			v.state.parts[key] = held{used: now, mark: v.state.turnover, read: true}
		}
	}
	v.chooser.tell(Reading{Upstream: v.id, Salt: v.salt, Parts: ids})
}

// Left notes the end of the stay. It is safe to call more than once.
func (v *Visit) Left() {
	v.chooser.mu.Lock()
	defer v.chooser.mu.Unlock()
	if v.left {
		return
	}
	v.left = true
	v.state.usual.note(v.state.running, v.state.backlog, v.chooser.now())
	v.state.running--
	v.state.backlog -= v.missing
}

// Succeeded notes a sound answer.
func (v *Visit) Succeeded() {
	v.chooser.mu.Lock()
	defer v.chooser.mu.Unlock()
	v.state.noteOutcome(false, v.chooser.now())
	v.state.down = false
}

// Failed notes an answer that was lost or a failure of the upstream's own.
func (v *Visit) Failed() {
	v.chooser.mu.Lock()
	defer v.chooser.mu.Unlock()
	v.state.noteOutcome(true, v.chooser.now())
}

// Unreachable notes that the upstream could not be reached. It gets nothing until
// Reached is called. The result says that this is news.
func (v *Visit) Unreachable() bool {
	v.chooser.mu.Lock()
	defer v.chooser.mu.Unlock()
	former := v.state.down
	v.state.down = true
	return !former
}

// Ended notes that another life answered at the upstream's address. It gets
// nothing until it is listed anew. The result says that this is news.
func (v *Visit) Ended() bool {
	v.chooser.mu.Lock()
	defer v.chooser.mu.Unlock()
	former := v.state.ended
	v.state.ended = true
	return !former
}

// Full notes that the upstream refused the request, and is left alone for a moment.
func (v *Visit) Full(pause time.Duration) {
	v.chooser.mu.Lock()
	defer v.chooser.mu.Unlock()
	v.state.restUntil = max(v.state.restUntil, v.chooser.now().Add(pause))
}
