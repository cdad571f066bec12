package intake

import "time"

// smallBodyBytes is the memory of a body that does not wait until others have released theirs.
const smallBodyBytes = 16 << 10

// BeginBody is called by a handler before it reads the request's body, or when it refuses a request
// whose body has not ended, since the HTTP server reads some of it first. Until EndBody the
// connection may be closed for others.
func (c *Conn) BeginBody() {
	if c == nil {
		return
	}
	m := c.manager
	m.mu.Lock()
	defer m.mu.Unlock()
	c.entry.enter(inBody, time.Now())
	m.noteClosable()
}

// HoldBody is called by a handler when the unfinished body takes a number of bytes more. If it
// returns false, the body must not take them: the connection was closed for others.
func (c *Conn) HoldBody(bytes int64) bool {
	if c == nil {
		return true
	}
	m := c.manager
	m.mu.Lock()
	now := time.Now()
	c.entry.progressAt = now
	c.entry.received += bytes
	m.ledger.holdBody(&c.entry, bytes)
	m.close(m.ledger.trimBodies(now), "bodies")
	if c.entry.bodyBytes <= smallBodyBytes {
		m.mu.Unlock()
		return !c.interrupted.Load()
	}
	m.awaitMemory(c)
	return !c.interrupted.Load()
}

// EndBody is called by a handler that has read the whole body or has given up. From then on the
// connection is not closed for others. If it returns false, it was closed before, and the request
// must be refused.
func (c *Conn) EndBody() bool {
	if c == nil {
		return true
	}
	m := c.manager
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ledger.holdBody(&c.entry, -c.entry.bodyBytes)
	m.noteRelease()
	c.entry.enter(served, time.Now())
	return !c.entry.closing
}
