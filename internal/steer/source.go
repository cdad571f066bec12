package steer

import (
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/catalog"
)

// source is a place that holds leading parts of a prompt.
type source struct {
	id      string
	address string
	zone    string
	version int64
	tokens  int64
}

// sources lists the places from which parts of the work can be copied; c.mu is held.
func (c *Chooser) sources(list []*catalog.Upstream, work *Work, now bootclock.Instant) []source {
	if len(work.Parts) == 0 {
		return nil
	}
	var found []source
	for _, upstream := range list {
		s := c.state(upstream.ID)
		if len(s.parts) == 0 || s.down || s.ended || now.Before(s.restUntil) || now.Before(s.heldUntil) {
			continue
		}
		version := s.version[work.Model]
		if _, tokens := s.cached(work, work.Salt(version), now); tokens > 0 {
			found = append(found, source{id: upstream.ID, address: upstream.Address, zone: upstream.Zone, version: version, tokens: tokens})
		}
	}
	return found
}

// bestSource returns the address that has the most beyond what an upstream has,
// the number of tokens that it saves, and the time that the copy takes in
// milliseconds. Among engines one in the upstream's zone goes first. The store is
// asked when it has more than any engine. c.mu is held.
func (c *Chooser) bestSource(sources []source, work *Work, to *catalog.Upstream, version, cached int64, now bootclock.Instant) (address string, tokens int64, ms float64) {
	zone := ""
	for _, s := range sources {
		saved := s.tokens - cached
		if s.version != version || s.id == to.ID || saved < minCopied {
			continue
		}
		if saved > tokens || saved == tokens && s.zone == to.Zone && zone != to.Zone {
			address, zone, tokens = s.address, s.zone, saved
		}
	}
	ms = float64(tokens) / copyTokensPerMS
	if c.store == nil {
		return address, tokens, ms
	}
	saved := c.stored.leading(work, work.Salt(version)) - cached
	if saved < minCopied || saved <= tokens {
		return address, tokens, ms
	}
	wait := float64(c.storeBusyUntil.Sub(now)) / float64(time.Millisecond)
	if wait > maxStoreWaitMS {
		return address, tokens, ms
	}
	return c.store.Address, saved, max(wait, 0) + float64(saved)/c.store.TokensPerMS
}

// noteCopy counts a copy from the store against its link, which all gateways
// share; c.mu is held.
func (c *Chooser) noteCopy(choice Choice) {
	if c.store == nil || choice.Source != c.store.Address {
		return
	}
	took := time.Duration(float64(choice.Copied) / c.store.TokensPerMS * float64(c.gateways) * float64(time.Millisecond))
	c.storeBusyUntil = max(c.storeBusyUntil, c.now()).Add(took)
}

// maxStoreWaitMS is the longest wait for the store's link that is worth a copy.
const maxStoreWaitMS = 60
