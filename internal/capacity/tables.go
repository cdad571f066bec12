package capacity

import (
	"fmt"
	"strings"
)

// The planned size.
const (
	routers          = 350.0
	agents           = 600.0
	processes        = routers + agents
	customers        = 4900.0
	requestsPerSec   = 2500.0
	blocksTotal      = 100e6
	eventsPerSec     = 110e3
	changesPerDay    = 460.0
	secondsPerDay    = 86400.0
	probesPerRequest = 4.0
	promptBlocks     = 19.0
	// keyedCallsPerSec takes the limon workload's 5 charges for 30 prompts.
	keyedCallsPerSec = requestsPerSec * 5 / 30
	// onceOwners takes that workload's 3 services for 20 engines.
	onceOwners = agents * 3 / 23
	// rememberedKeys is what an owner keeps over a retry horizon of ten minutes.
	retryHorizonSecs = 600.0
)

// The budget of one process for control.
const (
	budgetBytes = 3 * 1024.0
	budgetCPU   = 0.017 * 1e6
	budgetHeap  = 64 * 1024 * 1024.0
)

// part is one line of a role's account.
type part struct {
	name    string
	formula string
	// measuredUpTo is the largest measured size, and size the one asked for.
	measuredUpTo, size float64
	cost               Cost
}

// extrapolated reports whether the size lies beyond the measured ones.
func (p part) extrapolated() bool { return p.size > p.measuredUpTo*1.001 }

// model reads fits and remembers the first one that is missing.
type model struct {
	record Record
	err    error
}

func (m *model) part(name, fitName string, size float64, formula string, scale float64) part {
	fit, err := m.record.Fit(fitName)
	if err != nil {
		if m.err == nil {
			m.err = err
		}
		return part{name: name}
	}
	return part{
		name:         name,
		formula:      fmt.Sprintf("`%s` at %s%s", fitName, short(size), formula),
		measuredUpTo: fit.Max(),
		size:         size,
		cost:         fit.At(size).times(scale),
	}
}

// heapOnce keeps the state of a part whose messages were scaled.
func (p part) withHeap(heap float64) part {
	p.cost.HeapBytes = heap
	return p
}

// Tables returns the computed part of docs/CAPACITY.md.
func Tables(record Record) (string, error) {
	m := &model{record: record}
	var b strings.Builder
	m.role(&b, "Router, ordinary second", m.routerParts())
	m.role(&b, "Agent beside an engine, ordinary second", m.agentParts())
	m.role(&b, "Any process, one restart a second in the fleet (loss of a zone, herd restart)", m.stormParts())
	m.role(&b, "Any process, the platform's store silent", m.silentParts())
	m.requestTable(&b)
	m.onceTable(&b)
	return b.String(), m.err
}

func (m *model) shared() []part {
	return []part{
		m.part("membership", "membership quiet", processes, "", 1),
		m.part("configuration: comparison each second", "config quiet", routers, "", 1),
		m.changesPart(),
	}
}

// changesPart is the average cost of putting published changes in force.
func (m *model) changesPart() part {
	scale := changesPerDay / secondsPerDay
	p := m.part("configuration: changes put in force", "config one change applied a second", customers,
		fmt.Sprintf(" x %s changes a day / 86,400 s; the heap whole", short(changesPerDay)), scale)
	return p.withHeap(p.cost.HeapBytes / scale)
}

func (m *model) routerParts() []part {
	return append(m.shared(), m.part("limits: lending, 7 requests/s", "quota.router", routers, "", 1))
}

func (m *model) agentParts() []part {
	events := eventsPerSec / agents
	const measuredEvents = 2000.0
	index := m.part("cache index", "placement.cache_index", blocksTotal/agents,
		fmt.Sprintf(" blocks x %s events/s / 2,000; the heap whole", short(events)), events/measuredEvents)
	index = index.withHeap(index.cost.HeapBytes / (events / measuredEvents))
	return append(m.shared(), index)
}

func (m *model) stormParts() []part {
	return []part{m.part("membership", "membership one restart a second", processes, "", 1)}
}

func (m *model) silentParts() []part {
	return []part{
		m.part("membership", "membership quiet", processes, "", 1),
		m.part("configuration", "config store silent", routers, "", 1),
	}
}

// role writes the account of one role with its sum and verdict.
func (m *model) role(b *strings.Builder, title string, parts []part) {
	fmt.Fprintf(b, "### %s\n\n", title)
	b.WriteString("| part | formula | bytes/s | CPU us/s | heap KiB |\n|---|---|---|---|---|\n")
	var sum Cost
	for _, p := range parts {
		mark := ""
		if p.extrapolated() {
			mark = fmt.Sprintf(" (extrapolated from %s)", short(p.measuredUpTo))
		}
		fmt.Fprintf(b, "| %s | %s%s | %.0f | %.0f | %.0f |\n", p.name, p.formula, mark,
			p.cost.BytesPerSecond, p.cost.CPUMicrosPerSecond, p.cost.HeapBytes/1024)
		sum = sum.plus(p.cost)
	}
	fmt.Fprintf(b, "| **sum** | | **%.0f** | **%.0f** | **%.0f** |\n", sum.BytesPerSecond, sum.CPUMicrosPerSecond, sum.HeapBytes/1024)
	fmt.Fprintf(b, "| budget | | %.0f | %.0f | %.0f |\n", budgetBytes, budgetCPU, budgetHeap/1024)
	fmt.Fprintf(b, "| verdict | | sent and received %s; sent alone %s | %s | %s |\n\n",
		verdict(sum.BytesPerSecond, budgetBytes), verdict(sum.BytesPerSecond/2, budgetBytes), verdict(sum.CPUMicrosPerSecond, budgetCPU), verdict(sum.HeapBytes, budgetHeap))
}

// verdict compares a cost with its budget.
func verdict(cost, budget float64) string {
	if cost <= budget {
		return fmt.Sprintf("holds, %.0f%% used", 100*cost/budget)
	}
	return fmt.Sprintf("does not hold, %.1f times the budget", cost/budget)
}

// requestTable writes what the requests themselves cause: probes, which are
// asked for when a request arrives and are no part of idle control.
func (m *model) requestTable(b *strings.Builder) {
	fit, err := m.record.Fit("placement.probe")
	if err != nil {
		m.err = err
		return
	}
	probe := fit.At(promptBlocks)
	asked := requestsPerSec * probesPerRequest
	b.WriteString("### Probes of requests\n\n")
	fmt.Fprintf(b, "One probe for a prompt of %s blocks is %.0f bytes and %.1f us at the agent; a request asks at most %s agents.\n\n",
		short(promptBlocks), probe.BytesPerSecond, probe.CPUMicrosPerSecond, short(probesPerRequest))
	b.WriteString("| role | probes/s | bytes/s | CPU us/s |\n|---|---|---|---|\n")
	for _, role := range []struct {
		name  string
		count float64
	}{{"router", routers}, {"agent", agents}} {
		each := asked / role.count
		fmt.Fprintf(b, "| %s | %.1f | %.0f | %.0f |\n", role.name, each, each*probe.BytesPerSecond, each*probe.CPUMicrosPerSecond)
	}
	b.WriteString("\n")
}

// onceTable writes what arbitration of keyed calls costs owner and store.
func (m *model) onceTable(b *strings.Builder) {
	calls := keyedCallsPerSec / onceOwners
	owner := m.part("", "once.keyed_calls", calls, "", 1)
	stored := m.part("", "once.store_calls", calls, "", 1)
	keys := calls * retryHorizonSecs
	remembered := m.part("", "once.remembered_keys", keys, "", 1)
	if m.err != nil {
		return
	}
	b.WriteString("### Owner of idempotency shards\n\n")
	b.WriteString("| what | value |\n|---|---|\n")
	fmt.Fprintf(b, "| keyed calls/s in the fleet (2,500 x 5/30) | %.0f |\n", keyedCallsPerSec)
	fmt.Fprintf(b, "| owners (600 x 3/23) | %.0f |\n", onceOwners)
	fmt.Fprintf(b, "| keyed calls/s an owner | %.1f |\n", calls)
	fmt.Fprintf(b, "| CPU us/s an owner | %.0f |\n", owner.cost.CPUMicrosPerSecond)
	fmt.Fprintf(b, "| keys remembered over 10 min | %.0f |\n", keys)
	fmt.Fprintf(b, "| heap KiB an owner | %.0f |\n", remembered.cost.HeapBytes/1024)
	fmt.Fprintf(b, "| store calls/s an owner | %.1f |\n", stored.cost.BytesPerSecond)
	fmt.Fprintf(b, "| store calls/s of all owners | %.0f |\n", stored.cost.BytesPerSecond*onceOwners)
	b.WriteString("\n")
}

// short formats a number without needless digits.
func short(v float64) string {
	if v == float64(int64(v)) {
		return fmt.Sprintf("%d", int64(v))
	}
	return fmt.Sprintf("%.1f", v)
}
