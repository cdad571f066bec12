package main

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// quotaRate and quotaBurst are the limit of a tenant in tokens, chargeTokens what a charge counts.
	quotaRate, quotaBurst, chargeTokens = 2_000, 40_000, 100
	// quotaWindow, quotaOvershoot and quotaSlack are the parameters of the rule.
	quotaWindow    = 8 * time.Second
	quotaOvershoot = 0.1
	quotaSlack     = 110_000
	// calmBefore is the time in which the tenant uses nothing, so that it has its burst.
	calmBefore = 62 * time.Second
)

// quotaRestart lets a tenant send all it can, and kills all gateways once.
func quotaRestart(s *stand, trouble bool) (bool, error) {
	for i := range 3 {
		startRunner(s, "i-billing-"+strconv.Itoa(i+1), "billing", 6).answer = func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, "charged") }
	}
	config := chargesConfig(1, 800*time.Millisecond)
	tenant := config["tenants"].([]map[string]any)[0]
	tenant["rate_per_s"], tenant["burst"], tenant["plain_tokens"] = quotaRate, quotaBurst, chargeTokens
	s.store.put("config", "main", config)
	for range 2 {
		s.addGateway(nil)
	}
	for _, g := range s.gateways {
		if err := g.awaitReady(15 * time.Second); err != nil {
			return false, err
		}
	}
	// The first charges beyond the own parts of the gateways open what they share.
	s.press("open", 2*time.Second)
	s.record.add("the tenant sends nothing for %v", calmBefore)
	time.Sleep(calmBefore)
	var pressed sync.WaitGroup
	pressed.Go(func() { s.press("press", quotaWindow) })
	time.Sleep(2500 * time.Millisecond)
	if trouble {
		for _, g := range s.gateways {
			g.stop()
		}
		s.record.add("all gateways are killed")
		time.Sleep(500 * time.Millisecond)
		for _, g := range s.gateways {
			g.restart()
		}
		s.record.add("all gateways start again")
	}
	pressed.Wait()
	most := s.mostTokens()
	allowed := int((quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOvershoot) + quotaSlack)
	s.record.add("%d tokens of the tenant have run in some %v; %d are allowed", most, quotaWindow, allowed)
	return most > allowed, nil
}

// press sends charges to all gateways from several clients for a time.
func (s *stand) press(name string, length time.Duration) {
	var ended atomic.Bool
	time.AfterFunc(length, func() { ended.Store(true) })
	s.inParallel(16, func(i int) {
		g := s.gateways[i%len(s.gateways)]
		client := &http.Client{Timeout: 1500 * time.Millisecond, Transport: &http.Transport{MaxConnsPerHost: 1}}
		defer client.CloseIdleConnections()
		for k := 0; !ended.Load(); k++ {
			if s.charge(client, g, fmt.Sprintf("%s-%d-%d", name, i, k)) != http.StatusOK {
				time.Sleep(50 * time.Millisecond)
			}
		}
	})
}

// mostTokens returns the most tokens that have run in any window after the calm.
func (s *stand) mostTokens() int {
	var begun []time.Time
	for _, r := range s.runners {
		for _, one := range r.ran() {
			if strings.HasPrefix(one.id, "press-") {
				begun = append(begun, one.at)
			}
		}
	}
	slices.SortFunc(begun, time.Time.Compare)
	most := 0
	for first, last := 0, 0; last < len(begun); last++ {
		for begun[last].Sub(begun[first]) >= quotaWindow {
			first++
		}
		most = max(most, last-first+1)
	}
	return most * chargeTokens
}
