package capacity

import (
	"fmt"
	"strings"
)

// The planned size and load of the whole fleet.
const (
	routerCount         = 350.0
	agentCount          = 600.0
	processCount        = routerCount + agentCount
	customerCount       = 4900.0
	requestsPerSec      = 2500.0
	cachedBlocks        = 100e6
	cacheEventsPerSec   = 110e3
	configChangesPerDay = 460.0
	secondsPerDay       = 86400.0
	probesPerRequest    = 4.0
	promptBlocks        = 19.0
	// keyedCallsPerSec follows from the limon workload, which has 5 charges for every
	// 30 prompts.
	keyedCallsPerSec = requestsPerSec * 5 / 30
	// ownerCount is the number of owners of idempotency shards. It follows from the
	// same workload, which has 3 services for every 20 engines, so 3 of 23 agents own
	// shards.
	ownerCount = agentCount * 3 / 23
	// keyHorizonSecs is the horizon of ten minutes during which an owner keeps an
	// idempotency key.
	keyHorizonSecs = 600.0
)

// The budget of one process for control traffic and state: 3 KiB/s, 1.7% of a core
// and 64 MiB of heap.
const (
	budgetBytesPerSec     = 3 * 1024.0
	budgetCPUMicrosPerSec = 0.017 * 1e6
	budgetHeapBytes       = 64 * 1024 * 1024.0
)

// lineItem is one row of a role's table: the cost of one component.
type lineItem struct {
	name    string
	formula string
	// measuredUpTo is the largest measured size. size is the size at which the cost of
	// this item is computed.
	measuredUpTo, size float64
	cost               Cost
}

// isExtrapolated reports whether the size exceeds the largest measured size by more
// than 0.1%.
func (l lineItem) isExtrapolated() bool { return l.size > l.measuredUpTo*1.001 }

// tableBuilder computes and writes the tables. err is the error of a missing
// measurement, nil if there is none.
type tableBuilder struct {
	record Record
	err    error
}

// item returns the cost at a size according to a curve, multiplied by scale.
// formulaSuffix is appended to the text of the formula column. If the curve is missing, item records
// the error and returns an item without cost.
func (t *tableBuilder) item(name, curveName string, size float64, formulaSuffix string, scale float64) lineItem {
	curve, err := t.record.Curve(curveName)
	if err != nil {
		if t.err == nil {
			t.err = err
		}
		return lineItem{name: name}
	}
	return lineItem{
		name:         name,
		formula:      fmt.Sprintf("`%s` at %s%s", curveName, formatNumber(size), formulaSuffix),
		measuredUpTo: curve.MaxSize(),
		size:         size,
		cost:         curve.CostAt(size).scaledBy(scale),
	}
}

// withHeap returns the item with another heap size. It restores the heap of an item
// whose rate of messages is scaled while its state is not.
func (l lineItem) withHeap(heapBytes float64) lineItem {
	l.cost.HeapBytes = heapBytes
	return l
}

// Tables returns the computed part of docs/CAPACITY.md. It returns an error if the
// record lacks a measurement.
func Tables(record Record) (string, error) {
	t := &tableBuilder{record: record}
	var b strings.Builder
	t.writeRole(&b, "Router, ordinary second", t.routerItems())
	t.writeRole(&b, "Agent beside an engine, ordinary second", t.agentItems())
	t.writeRole(&b, "Any process, one restart a second in the fleet (loss of a zone, herd restart)", t.restartItems())
	t.writeRole(&b, "Any process, the platform's store silent", t.silentStoreItems())
	t.writeProbeTable(&b)
	t.writeOwnerTable(&b)
	return b.String(), t.err
}

// sharedItems returns the items that routers and agents have in common.
func (t *tableBuilder) sharedItems() []lineItem {
	return []lineItem{
		t.item("membership", "membership quiet", processCount, "", 1),
		// The sizes of this measurement count members, those of changesItem customers.
		t.item("configuration: comparison each second", "config quiet", routerCount, "", 1),
		t.changesItem(),
	}
}

// changesItem returns the average cost of applying published configuration changes. The
// rate of changes is scaled, the heap is not.
func (t *tableBuilder) changesItem() lineItem {
	scale := configChangesPerDay / secondsPerDay
	changes := t.item("configuration: changes put in force", "config one change applied a second", customerCount,
		fmt.Sprintf(" x %s changes a day / 86,400 s; the heap whole", formatNumber(configChangesPerDay)), scale)
	return changes.withHeap(changes.cost.HeapBytes / scale)
}

// routerItems returns the items of a router.
func (t *tableBuilder) routerItems() []lineItem {
	return append(t.sharedItems(), t.item("limits: lending, 7 requests/s", "quota.router", routerCount, "", 1))
}

// agentItems returns the items of an agent. The cache index was measured at
// measuredEventsPerSec, so its cost per second is scaled to the events of one agent;
// its heap is not.
func (t *tableBuilder) agentItems() []lineItem {
	eventsPerAgent := cacheEventsPerSec / agentCount
	const measuredEventsPerSec = 2000.0
	index := t.item("cache index", "placement.cache_index", cachedBlocks/agentCount,
		fmt.Sprintf(" blocks x %s events/s / 2,000; the heap whole", formatNumber(eventsPerAgent)), eventsPerAgent/measuredEventsPerSec)
	index = index.withHeap(index.cost.HeapBytes / (eventsPerAgent / measuredEventsPerSec))
	return append(t.sharedItems(), index)
}

// restartItems returns the items of any process while one process of the fleet
// restarts every second.
func (t *tableBuilder) restartItems() []lineItem {
	return []lineItem{t.item("membership", "membership one restart a second", processCount, "", 1)}
}

// silentStoreItems returns the items of any process while the platform store does
// not answer.
func (t *tableBuilder) silentStoreItems() []lineItem {
	return []lineItem{
		t.item("membership", "membership quiet", processCount, "", 1),
		t.item("configuration", "config store silent", routerCount, "", 1),
	}
}

// writeRole writes the table of one role with its sum, the budget and the verdict.
func (t *tableBuilder) writeRole(b *strings.Builder, title string, items []lineItem) {
	fmt.Fprintf(b, "### %s\n\n", title)
	b.WriteString("| part | formula | bytes/s | CPU us/s | heap KiB |\n|---|---|---|---|---|\n")
	var sum Cost
	for _, l := range items {
		note := ""
		if l.isExtrapolated() {
			note = fmt.Sprintf(" (extrapolated from %s)", formatNumber(l.measuredUpTo))
		}
		fmt.Fprintf(b, "| %s | %s%s | %.0f | %.0f | %.0f |\n", l.name, l.formula, note,
			l.cost.BytesPerSecond, l.cost.CPUMicrosPerSecond, l.cost.HeapBytes/1024)
		sum = sum.add(l.cost)
	}
	fmt.Fprintf(b, "| **sum** | | **%.0f** | **%.0f** | **%.0f** |\n", sum.BytesPerSecond, sum.CPUMicrosPerSecond, sum.HeapBytes/1024)
	fmt.Fprintf(b, "| budget | | %.0f | %.0f | %.0f |\n", budgetBytesPerSec, budgetCPUMicrosPerSec, budgetHeapBytes/1024)
	// In the fleet as a whole each byte sent is received once, so half of the bytes count
	// as sent.
	fmt.Fprintf(b, "| verdict | | sent and received %s; sent alone %s | %s | %s |\n\n",
		verdict(sum.BytesPerSecond, budgetBytesPerSec), verdict(sum.BytesPerSecond/2, budgetBytesPerSec), verdict(sum.CPUMicrosPerSecond, budgetCPUMicrosPerSec), verdict(sum.HeapBytes, budgetHeapBytes))
}

// verdict returns a text that compares a cost with its budget.
func verdict(cost, budget float64) string {
	if cost <= budget {
		return fmt.Sprintf("holds, %.0f%% used", 100*cost/budget)
	}
	return fmt.Sprintf("does not hold, %.1f times the budget", cost/budget)
}

// writeProbeTable writes the cost of the probes that are sent when a request arrives.
// It is not part of the idle control cost in the tables of the roles.
func (t *tableBuilder) writeProbeTable(b *strings.Builder) {
	curve, err := t.record.Curve("placement.probe")
	if err != nil {
		t.err = err
		return
	}
	// The measurement sends one probe a second, so its cost per second is that of a probe.
	probe := curve.CostAt(promptBlocks)
	probesPerSec := requestsPerSec * probesPerRequest
	b.WriteString("### Probes of requests\n\n")
	fmt.Fprintf(b, "One probe for a prompt of %s blocks is %.0f bytes and %.1f us at the agent; a request asks at most %s agents.\n\n",
		formatNumber(promptBlocks), probe.BytesPerSecond, probe.CPUMicrosPerSecond, formatNumber(probesPerRequest))
	b.WriteString("| role | probes/s | bytes/s | CPU us/s |\n|---|---|---|---|\n")
	for _, role := range []struct {
		name  string
		count float64
	}{{"router", routerCount}, {"agent", agentCount}} {
		perProcess := probesPerSec / role.count
		fmt.Fprintf(b, "| %s | %.1f | %.0f | %.0f |\n", role.name, perProcess, perProcess*probe.BytesPerSecond, perProcess*probe.CPUMicrosPerSecond)
	}
	b.WriteString("\n")
}

// writeOwnerTable writes what the arbitration of calls with idempotency keys costs an
// owner and the store.
func (t *tableBuilder) writeOwnerTable(b *strings.Builder) {
	callsPerOwner := keyedCallsPerSec / ownerCount
	callCost := t.item("", "once.keyed_calls", callsPerOwner, "", 1)
	// The points of this measurement hold store calls per second in BytesPerSecond.
	storeCalls := t.item("", "once.store_calls", callsPerOwner, "", 1)
	keysPerOwner := callsPerOwner * keyHorizonSecs
	keyHeap := t.item("", "once.remembered_keys", keysPerOwner, "", 1)
	if t.err != nil {
		return
	}
	b.WriteString("### Owner of idempotency shards\n\n")
	b.WriteString("| what | value |\n|---|---|\n")
	fmt.Fprintf(b, "| keyed calls/s in the fleet (2,500 x 5/30) | %.0f |\n", keyedCallsPerSec)
	fmt.Fprintf(b, "| owners (600 x 3/23) | %.0f |\n", ownerCount)
	fmt.Fprintf(b, "| keyed calls/s an owner | %.1f |\n", callsPerOwner)
	fmt.Fprintf(b, "| CPU us/s an owner | %.0f |\n", callCost.cost.CPUMicrosPerSecond)
	fmt.Fprintf(b, "| keys remembered over 10 min | %.0f |\n", keysPerOwner)
	fmt.Fprintf(b, "| heap KiB an owner | %.0f |\n", keyHeap.cost.HeapBytes/1024)
	fmt.Fprintf(b, "| store calls/s an owner | %.1f |\n", storeCalls.cost.BytesPerSecond)
	fmt.Fprintf(b, "| store calls/s of all owners | %.0f |\n", storeCalls.cost.BytesPerSecond*ownerCount)
	b.WriteString("\n")
}

// formatNumber formats a whole number without decimals and any other number with
// one.
func formatNumber(v float64) string {
	if v == float64(int64(v)) {
		return fmt.Sprintf("%d", int64(v))
	}
	return fmt.Sprintf("%.1f", v)
}
