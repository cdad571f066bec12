package gateway

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/internal/balancer"
	"github.com/greengagegate/greengagegate/internal/catalog"
	"github.com/greengagegate/greengagegate/internal/contain"
	"github.com/greengagegate/greengagegate/internal/exchange"
	"github.com/greengagegate/greengagegate/internal/poison"
	"golang.org/x/sys/unix"
)

// crashRetention is how long a crash is remembered, so that responses which are found lost
// later count for it without another check. A check that failed to find a crash is
// forgotten at once.
const crashRetention = 5 * time.Second

// crashChecks finds out whether upstreams that lost a response have crashed. A lost
// connection alone does not show it: the upstream may have ended this response only. If its
// host refuses a new connection, its process is gone, and so are all requests that it had.
// A host that does not answer says nothing, since it may be unreachable from here alone.
// The zero value is ready for use.
type crashChecks struct {
	mu     sync.Mutex
	checks map[incarnation]*crashCheck
}

// incarnation identifies one run of an upstream's process.
type incarnation struct {
	id            string
	startedMillis int64
}

// crashCheck is the check of one incarnation.
type crashCheck struct {
	crashed bool
	// lost are the keys of the requests whose responses were lost, until the check ends.
	lost [][]poison.Key
}

// add adds the keys of a lost request to the check of an incarnation. started reports
// whether this begins the check, which the caller must then make and end. crashed reports
// whether an earlier check has found a crash; the caller must then record the keys itself.
func (c *crashChecks) add(which incarnation, keys []poison.Key) (started, crashed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known := c.checks[which]; known != nil {
		if !known.crashed {
			known.lost = append(known.lost, keys)
		}
		return false, known.crashed
	}
	if c.checks == nil {
		c.checks = make(map[incarnation]*crashCheck)
	}
	c.checks[which] = &crashCheck{lost: [][]poison.Key{keys}}
	return true, false
}

// end records the result of a check and returns the keys that waited for it.
func (c *crashChecks) end(which incarnation, crashed bool) (lost [][]poison.Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	check := c.checks[which]
	lost, check.lost = check.lost, nil
	check.crashed = crashed
	if crashed {
		time.AfterFunc(crashRetention, func() { c.forget(which) })
		return lost
	}
	delete(c.checks, which)
	return lost
}

func (c *crashChecks) forget(which incarnation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.checks, which)
}

// isConnectionLost reports whether an exchange failed because the upstream's host ended the
// connection.
func isConnectionLost(cause error) bool {
	return errors.Is(cause, io.EOF) || errors.Is(cause, io.ErrUnexpectedEOF) ||
		errors.Is(cause, unix.ECONNRESET) || errors.Is(cause, unix.EPIPE)
}

// recordLoss records that the upstream of a send may have crashed with the request, and
// begins to find out whether it has.
func (j *job) recordLoss(s *send, cause error) {
	if s.ctx.Err() != nil || !isConnectionLost(cause) {
		return
	}
	upstream := s.choice.Upstream
	which := incarnation{id: upstream.ID, startedMillis: upstream.StartedMillis}
	keys := j.poisonKeys()
	j.losses++
	started, crashed := j.gateway.crashChecks.add(which, keys)
	switch {
	case started:
		go j.gateway.checkCrash(upstream, s.attempt, which)
	case crashed:
		j.gateway.recordCrash(which, keys)
	}
}

// checkCrash finds out whether an upstream has crashed, and records the crash.
func (g *Gateway) checkCrash(upstream *catalog.Upstream, attempt *balancer.Attempt, which incarnation) {
	defer contain.Panics(g.Log, "gateway", upstream.ID)
	err := exchange.RefusedConnection(context.Background(), upstream.Address)
	lost := g.crashChecks.end(which, err != nil)
	if err == nil {
		return
	}
	g.Log.Warn().Err(err).Str("upstream", upstream.ID).Int64("born", upstream.StartedMillis).Int("lost", len(lost)).
		Msg("gateway: upstream has crashed; the contents of its requests become suspect")
	for _, keys := range lost {
		g.recordCrash(which, keys)
	}
	g.markUnreachable(upstream, attempt, err)
}

// recordCrash records that a request with these keys was lost in a crash. If the request is
// on trial from now on, the other gateways learn of it at once, since they may have copies.
func (g *Gateway) recordCrash(which incarnation, keys []poison.Key) {
	g.Poison.RecordCrash(which.id, which.startedMillis, keys)
	if g.Poison.OnTrial(keys) != "" {
		g.Announce()
	}
}
