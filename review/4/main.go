// Command 4 is a case of the review: a new configuration isolates a tenant, and requests of another
// tenant go on using KV cache that the isolated tenant's requests made.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/greengagegate/greengagegate/review/stand"
)

const (
	keyA, keyB = "wu3fexd9dnn2ctnfzs98", "9anu6wsjnbanfqasnmgk"
	// configApply is config_apply_ms of the pages.
	configApply = 2 * time.Second
	pause       = 150 * time.Millisecond
)

func main() {
	record, err := stand.NewRecord("4")
	if err != nil {
		fmt.Println(err)
		os.Exit(stand.ExitNotRun)
	}
	code, err := play(record)
	if err != nil {
		record.Say("not run: %v", err)
		code = stand.ExitNotRun
	}
	record.Close()
	os.Exit(code)
}

// tenants returns the tenants of a configuration.
func tenants(isolated bool) []map[string]any {
	a := stand.Tenant("tenant-a", keyA, 275124)
	a["isolated"] = isolated
	return []map[string]any{a, stand.Tenant("tenant-b", keyB, 275124)}
}

func play(record *stand.Record) (int, error) {
	fleet, err := stand.NewFleet()
	if err != nil {
		return 0, err
	}
	defer fleet.Close()
	fleet.Store.Put("config", "main", stand.Config(7, tenants(false)...))
	fleet.Store.Put("versions", stand.Model, map[string]any{"model": stand.Model, "version": 1})
	var models []*stand.Runner
	for i := range 2 {
		models = append(models, &stand.Runner{
			ID: fmt.Sprintf("i-7f3a91c%d", i), Service: stand.ModelPool, Zone: "zone-a", Model: stand.Model, LoadTime: time.Second,
			Work: 60 * time.Millisecond, Pieces: 5, MemoryTokens: 159933, Capacity: 128,
		})
	}
	app := &stand.Runner{ID: "i-0c41d8aa", Service: stand.AppPool, Zone: "zone-a", Work: 15 * time.Millisecond, Capacity: 6}
	for _, r := range append(models, app) {
		if err := fleet.AddRunner(r); err != nil {
			return 0, err
		}
	}
	if err := fleet.AddGateways(2); err != nil {
		return 0, err
	}
	if err := fleet.AwaitReady(); err != nil {
		return 0, err
	}
	c := &clients{record: record, fleet: fleet, sentAt: make(map[string]time.Time)}
	c.send(keyA, keyB, 3*time.Second)
	isolatedAt := time.Now().Add(time.Hour)
	if stand.Trouble() {
		fleet.Store.Put("config", "main", stand.Config(9, tenants(true)...))
		isolatedAt = time.Now()
		record.Line(isolatedAt, "configuration 9 is acknowledged: tenant-a is isolated")
	} else {
		fleet.Store.Put("config", "main", stand.Config(9, tenants(false)...))
		record.Line(time.Now(), "configuration 9 is acknowledged: tenant-a is not isolated")
	}
	c.send(keyA, keyB, 6*time.Second)
	var runs []stand.Run
	for _, r := range models {
		runs = append(runs, r.Runs()...)
	}
	return c.judge(runs, isolatedAt), nil
}

// clients are the clients of both tenants.
type clients struct {
	record *stand.Record
	fleet  *stand.Fleet
	sentAt map[string]time.Time
	sent   int
}

// send sends requests with both keys in turn for a time. All share the first part of their prompts,
// the house rules; the last part is that of the request.
func (c *clients) send(firstKey, secondKey string, during time.Duration) {
	for end := time.Now().Add(during); time.Now().Before(end); time.Sleep(pause) {
		c.sent++
		key := firstKey
		if c.sent%2 == 0 {
			key = secondKey
		}
		g := c.fleet.Gateways[c.sent/2%len(c.fleet.Gateways)]
		client, err := stand.Dial(g.Front)
		if err != nil {
			continue
		}
		r := &stand.Request{
			ID: stand.NewID(), Method: "POST", Path: stand.CheckPath + "2f", Key: key, Usage: "3000,20", Deadline: 4 * time.Second, Body: []byte("sheet"),
			Prefix: fmt.Sprintf("5c1e07a2:2800,%08x:200", c.sent),
		}
		c.sentAt[r.ID] = time.Now()
		answer := client.Do(r)
		client.Close()
		c.record.Line(time.Now(), "client sent %s with the key ..%s to %s and got %s", r.ID, key[16:], g.Name, answer.String())
	}
}

// judge checks rule WALL: a request uses KV cache that a request of another tenant made, and one of
// the two is isolated, by the configuration that was acknowledged config_apply_ms before the
// request was sent.
func (c *clients) judge(runs []stand.Run, isolatedAt time.Time) int {
	broken, applied := 0, 0
	for _, run := range runs {
		c.record.Line(run.At, "runner runs %s of %s, salt %q, found %v", run.ID, run.Tenant, run.Salt, run.Reused)
		if c.sentAt[run.ID].Before(isolatedAt.Add(configApply)) {
			continue
		}
		applied++
		for _, part := range run.Reused {
			if part.Tenant != run.Tenant && (part.Tenant == "tenant-a" || run.Tenant == "tenant-a") {
				broken++
				c.record.Line(run.At, "broken: %s of %s uses part %s that %s of %s made", run.ID, run.Tenant, part.ID, part.Request, part.Tenant)
			}
		}
	}
	c.record.Say("%d requests ran, %d of them were sent later than %v after tenant-a was isolated", len(runs), applied, configApply)
	switch {
	case len(runs) == 0:
		return stand.ExitNotRun
	case broken > 0:
		c.record.Say("WALL is broken: %d requests used KV cache that a request of another tenant made, with tenant-a isolated", broken)
		return stand.ExitBroken
	}
	c.record.Say("WALL held")
	return stand.ExitHeld
}
