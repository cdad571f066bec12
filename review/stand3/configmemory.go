package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// memoryMB is the memory of a small front machine.
	memoryMB = 184
	// addedRoutes is the largest number of routes by which a configuration grows.
	addedRoutes = 1400
	// A storm brings a version of the configuration every stormGap.
	stormLength, stormGap = 2 * time.Second, 80 * time.Millisecond
	// stormPause is the pause between two storms. All together they bring fewer versions than one day,
	// and take no longer than stormsTime.
	stormPause  = 1500 * time.Millisecond
	maxVersions = 455
	stormsTime  = 95 * time.Second
	// calmTime is how long the case lasts without changes.
	calmTime = 50 * time.Second
	// workTime is how long a runner works on a charge.
	workTime = 150 * time.Millisecond
)

// largeConfig is the configuration after it has grown by many routes.
func largeConfig(version int) map[string]any {
	config := chargesConfig(version, 800*time.Millisecond)
	routes := config["routes"].([]map[string]any)
	for i := range addedRoutes {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("r-member-%04d", i), "host": fmt.Sprintf("member%04d.example", i/4), "path_prefix": fmt.Sprintf("/desk%04d/ny%02d/", i, i%100),
			"route_type": "stream", "timeout_ms": 12000, "target_latency_ms": 250, "priority": 0,
			"weighted_backends": []map[string]any{{"service": "billing", "weight": 90}, {"service": "ledger", "weight": 10}},
			"attempts":          2, "anonymous": false, "session_affinity": true, "can_resume": true, "gap_aim_ms": 250,
		})
	}
	config["routes"] = routes
	config["services"] = append(config["services"].([]map[string]any), map[string]any{"name": "ledger", "health_check": "/healthz", "max_connections": 110})
	return config
}

// configMemory changes a large configuration again and again, while clients send charges.
func configMemory(s *stand, trouble bool) (bool, error) {
	for i := range 4 {
		startRunner(s, "i-billing-"+strconv.Itoa(i+1), "billing", 6).answer = func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(workTime)
			_, _ = fmt.Fprint(w, "charged")
		}
	}
	s.store.put("config", "main", largeConfig(1))
	for range 2 {
		s.addGateway(map[string]string{
			"limits.memory_mb": strconv.Itoa(memoryMB), "parameters.drain_ms": "3000", "parameters.version_ms": "20000", "parameters.retry_slack": "104",
		})
	}
	for _, g := range s.gateways {
		if err := g.awaitReady(15 * time.Second); err != nil {
			return false, err
		}
	}
	var ended atomic.Bool
	var work sync.WaitGroup
	var cut atomic.Int32
	for i, g := range s.gateways {
		work.Go(func() { s.boundMemory(g, &ended) })
		for k := range 12 {
			work.Go(func() { cut.Add(s.keepCharging(g, fmt.Sprintf("%d-%d", i+1, k), &ended)) })
		}
	}
	time.Sleep(livenessTime)
	s.changeConfig(trouble)
	ended.Store(true)
	work.Wait()
	kills := s.kills.Load()
	s.record.add("processes were killed %d times for their memory; %d charges that had run were cut", kills, cut.Load())
	return kills > 0 && cut.Load() > 3, nil
}

// changeConfig writes new versions of the configuration in storms, or waits if trouble is false.
func (s *stand) changeConfig(trouble bool) {
	if !trouble {
		time.Sleep(calmTime)
		return
	}
	last := time.Now().Add(stormsTime)
	for version := 1; version < maxVersions && time.Now().Before(last); time.Sleep(stormPause) {
		for end := time.Now().Add(stormLength); time.Now().Before(end); time.Sleep(stormGap) {
			version++
			s.store.put("config", "main", largeConfig(version))
		}
		s.record.add("the configuration has version %d", version)
		if s.kills.Load() >= int32(len(s.gateways)) {
			return
		}
	}
}

// boundMemory kills a gateway that exceeds its memory, and starts it again.
func (s *stand) boundMemory(g *gateway, ended *atomic.Bool) {
	last := 0
	for ; !ended.Load(); time.Sleep(50 * time.Millisecond) {
		kB := g.privateKB()
		if kB/10_000 > last {
			last = kB / 10_000
			s.record.add("%s has %d kB of private memory; its limit is %d kB", g.name, kB, memoryMB<<10)
		}
		if kB <= memoryMB<<10 {
			continue
		}
		s.record.add("%s exceeds its memory: the platform kills it and starts it again", g.name)
		s.kills.Add(1)
		g.stop()
		time.Sleep(300 * time.Millisecond)
		g.restart()
		last = 0
	}
}

// keepCharging sends charges one after the other on a kept connection, and returns how many of them
// have run and were cut: the gateway ended a connection that had carried charges before without an
// answer. A charge that the client itself gives up does not count.
func (s *stand) keepCharging(g *gateway, name string, ended *atomic.Bool) (cut int32) {
	client := &http.Client{Timeout: 1500 * time.Millisecond, Transport: &http.Transport{MaxConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for i := 0; !ended.Load(); i++ {
		id := fmt.Sprintf("charge-%s-%d", name, i)
		var wasKept bool
		status, err := s.chargeKept(client, g, id, &wasKept)
		if status != 0 {
			continue
		}
		var failure net.Error
		gaveUp := errors.As(err, &failure) && failure.Timeout()
		if wasKept && !gaveUp && s.hasRun(id) {
			cut++
			s.record.add("%s has run, and the connection ended without an answer", id)
		}
		time.Sleep(200 * time.Millisecond)
	}
	return cut
}
