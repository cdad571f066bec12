package once

import (
	"net"
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/store"
)

// absenceTracker remembers since when hosts have been absent from the platform's list.
type absenceTracker struct {
	mu          sync.Mutex
	absentSince map[string]time.Time
}

// observe notes which of the addresses the list no longer has.
func (t *absenceTracker) observe(addresses []string, hosts []store.Host, now time.Time) {
	next := make(map[string]time.Time)
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, address := range addresses {
		if isListed(hosts, address) {
			continue
		}
		since, ok := t.absentSince[address]
		if !ok {
			since = now
		}
		next[address] = since
	}
	t.absentSince = next
}

// isAbsentFor reports whether the host has been absent for at least a duration.
func (t *absenceTracker) isAbsentFor(address string, atLeast time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	since, ok := t.absentSince[address]
	return ok && time.Since(since) >= atLeast
}

// isListed reports whether a host of the list is that of address. An entry with a
// port names one process's address, one without names the whole host.
func isListed(hosts []store.Host, address string) bool {
	ip, _, err := net.SplitHostPort(address)
	if err != nil {
		ip = address
	}
	for _, host := range hosts {
		if host.Address == address || host.Address == ip {
			return true
		}
	}
	return false
}
