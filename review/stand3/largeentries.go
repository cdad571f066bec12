package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// largeEntries is the number of entries of another writer, and largeBytes the size of each, which
	// is below value_bytes.
	largeEntries, largeBytes = 12, 1_000_000
	// drainTime is drain_ms, and lingerTime how much longer the runner serves.
	drainTime, lingerTime = 2 * time.Second, 3 * time.Second
	// historyTime is history_s.
	historyTime = 20 * time.Second
)

// leaveUnheard lets another writer leave large entries at once; then a runner leaves as planned.
func leaveUnheard(s *stand, trouble bool) (bool, error) {
	s.store.keep = historyTime
	var leaving *runner
	for i := range 3 {
		leaving = startRunner(s, "i-billing-"+strconv.Itoa(i+1), "billing", 6)
		leaving.answer = func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(30 * time.Millisecond)
			_, _ = fmt.Fprint(w, "charged")
		}
	}
	s.store.put("config", "main", chargesConfig(1, 800*time.Millisecond))
	for range 2 {
		s.addGateway(nil)
	}
	for _, g := range s.gateways {
		if err := g.awaitReady(15 * time.Second); err != nil {
			return false, err
		}
	}
	var ended atomic.Bool
	var work sync.WaitGroup
	var lost atomic.Int32
	for i, g := range s.gateways {
		for k := range 3 {
			work.Go(func() {
				client := &http.Client{Timeout: 1500 * time.Millisecond, Transport: &http.Transport{MaxConnsPerHost: 1}}
				defer client.CloseIdleConnections()
				for n := 0; !ended.Load(); n++ {
					id := fmt.Sprintf("charge-%d-%d-%d", i+1, k, n)
					if status := s.charge(client, g, id); status != http.StatusOK && s.hasRun(id) {
						lost.Add(1)
						s.record.add("%s has run and was answered %d", id, status)
					}
					time.Sleep(10 * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(livenessTime)
	if trouble {
		text := strings.Repeat("x", largeBytes)
		for i := range largeEntries {
			s.store.put("servers", "blob-"+strconv.Itoa(i), text)
		}
		s.record.add("another writer leaves %d entries of %d bytes that name no runner", largeEntries, largeBytes)
	}
	time.Sleep(2 * time.Second)
	entry := entryOf(leaving, "billing", 6)
	entry["state"] = "draining"
	s.store.put("servers", leaving.id, entry)
	acknowledged := time.Now()
	s.record.add("%s is draining", leaving.id)
	time.Sleep(drainTime + lingerTime)
	leaving.stop()
	s.record.add("%s has ended", leaving.id)
	s.store.remove("servers", leaving.id)
	time.Sleep(time.Second)
	ended.Store(true)
	work.Wait()
	late := 0
	for _, one := range leaving.ran() {
		if one.at.Sub(acknowledged) > drainTime {
			late++
		}
	}
	s.record.add("%d requests reached %s later than %v after the acknowledgement; %d charges ran and got no success", late, leaving.id, drainTime, lost.Load())
	return late > 0, nil
}
