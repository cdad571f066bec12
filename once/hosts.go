package once

import (
	"net"
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/store"
)

// absenceTracker records since when hosts have been absent from the platform's
// list of hosts. The zero value is ready for use.
type absenceTracker struct {
	mu          sync.Mutex
	absentSince map[string]time.Time
}

// observe records which of the addresses are absent from hosts at now. An address
// that is listed, or not among addresses, is no longer tracked.
func (t *absenceTracker) observe(addresses []string, hosts []store.Host, now time.Time) {
	absentSince := make(map[string]time.Time)
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
		absentSince[address] = since
	}
	t.absentSince = absentSince
}

// isAbsentFor reports whether the host of address has been absent for at least
// minAbsence.
func (t *absenceTracker) isAbsentFor(address string, minAbsence time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	since, ok := t.absentSince[address]
	return ok && time.Since(since) >= minAbsence
}

// isListed reports whether hosts contains the host of address. A listed host with
// a port stands for the process at that address, and a listed host without a port
// for all processes of the host.
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
