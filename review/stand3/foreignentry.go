package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// foreignCharges is the number of charges that clients send.
const foreignCharges = 60

// foreignEntry lets another writer enter a server in the platform's list that is no runner of any
// service: the entry lacks fields, or has one of another type.
func foreignEntry(s *stand, trouble bool) (bool, error) {
	done := func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, "charged") }
	for i := range 2 {
		startRunner(s, "i-billing-"+strconv.Itoa(i+1), "billing", 6).answer = done
	}
	foreign := []*runner{
		startServer(s, "i-practice-1"), startServer(s, "i-practice-2"), startServer(s, "i-practice-3"),
	}
	for _, server := range foreign {
		server.answer = done
	}
	s.store.put("config", "main", chargesConfig(1, 800*time.Millisecond))
	if trouble {
		entry := entryOf(foreign[0], "billing", 6)
		delete(entry, "sequence")
		delete(entry, "cold_remaining_ms")
		s.store.put("servers", foreign[0].id, entry)
		s.record.add("another writer enters %s: sequence and cold_remaining_ms are missing", foreign[0].id)
		entry = entryOf(foreign[1], "billing", 6)
		entry["cold_remaining_ms"] = "none"
		s.store.put("servers", foreign[1].id, entry)
		s.record.add("another writer enters %s: cold_remaining_ms is a text", foreign[1].id)
		named := make(map[string]any)
		for name, value := range entryOf(foreign[2], "billing", 6) {
			named[strings.ToUpper(name)] = value
		}
		s.store.put("servers", foreign[2].id, named)
		s.record.add("another writer enters %s: all fields have other names, such as SERVICE and ADDRESS", foreign[2].id)
	}
	g := s.addGateway(nil)
	if err := g.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(livenessTime)
	succeeded := 0
	for i := range foreignCharges {
		if s.charge(newClient(), g, "charge-"+strconv.Itoa(i)) == http.StatusOK {
			succeeded++
		}
		time.Sleep(20 * time.Millisecond)
	}
	strays := 0
	for _, server := range foreign {
		strays += len(server.ran())
		s.record.add("%s, which is no runner, ran %d of %d charges", server.id, len(server.ran()), foreignCharges)
	}
	s.record.add("%d of %d charges were answered with 200", succeeded, foreignCharges)
	if !trouble && succeeded < foreignCharges {
		return false, fmt.Errorf("only %d of %d charges succeeded without the disruption", succeeded, foreignCharges)
	}
	return strays > 0, nil
}
