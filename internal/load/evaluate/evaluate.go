package evaluate

import (
	"sort"
	"time"

	"github.com/greengagegate/greengagegate/internal/load/client"
	"github.com/greengagegate/greengagegate/internal/load/scenario"
	"github.com/greengagegate/greengagegate/internal/standin/host"
)

// tolerableRefusals is the share of its requests that an exact bucket may refuse
// of a customer that still counts as within its rate.
const tolerableRefusals = 0.01

// Input is everything that a run left behind.
type Input struct {
	Plan    *scenario.Plan
	Prompts []client.PromptResult
	Charges []client.ChargeResult
	// AtWarm and AtEnd are the stand-ins' counters at the end of the warm-up and of the run.
	AtWarm, AtEnd host.Stats
	// CrashedAt is when a part of the engines crashed at once, 0 for never.
	CrashedAt time.Duration
}

// Figures is what is measured of one run.
type Figures struct {
	Requests      int     `json:"requests"`
	PrefixHitRate float64 `json:"prefix_hit_rate"`
	TTFT50        float64 `json:"ttft_p50_ms"`
	TTFT95        float64 `json:"ttft_p95_ms"`
	TTFT99        float64 `json:"ttft_p99_ms"`
	Recomputed    int64   `json:"recomputed_tokens"`
	Needed        int64   `json:"needed_tokens"`
	WorstCustomer string  `json:"worst_customer"`
	WorstTTFT95   float64 `json:"worst_customer_ttft_p95_ms"`
	MedianTTFT95  float64 `json:"median_customer_ttft_p95_ms"`
	Refused       int     `json:"refused"`
	Wrongful      int     `json:"wrongful_refusals"`
	// WrongfulWithin counts those of customers within their rate: a customer far
	// beyond it is refused other requests than an exact bucket would.
	WrongfulWithin int `json:"wrongful_refusals_within_rate"`
	Failed         int `json:"failed"`
	Truncated      int `json:"truncated_streams"`
	// Broken counts those of them whose connection broke, as when a router dies.
	Broken          int     `json:"broken_connections"`
	WrongAnswers    int     `json:"wrong_answers"`
	OverAdmission   float64 `json:"over_admission_tokens"`
	InnocentRefused int     `json:"innocents_refused"`
	Charges
	EnginesLost   int     `json:"engines_lost_to_poison"`
	ImportedKV    int64   `json:"kv_imported_blocks"`
	ExportedKV    int64   `json:"kv_exported_blocks"`
	StoreReads    int64   `json:"store_reads"`
	StoreWrites   int64   `json:"store_writes"`
	StoreWatches  int64   `json:"store_watches"`
	CrashP95Ratio float64 `json:"crash_p95_ratio,omitempty"`
	// Codes counts the refusals and failures by code.
	Codes map[string]int `json:"codes,omitempty"`
	// CodeDetails has the step and message of the first of each.
	CodeDetails map[string]string    `json:"code_details,omitempty"`
	Customers   map[string]Quantiles `json:"customers"`
}

// Judge computes the figures of a run. Requests that arrived during the warm-up
// do not count, but for over-admission and charges.
func Judge(in Input) Figures {
	measured := in.measured()
	f := Figures{Requests: len(measured), Codes: make(map[string]int), CodeDetails: make(map[string]string), Customers: make(map[string]Quantiles)}
	all := QuantilesOf(times(measured))
	f.TTFT50, f.TTFT95, f.TTFT99 = all.P50, all.P95, all.P99
	f.Needed = neededTokens(in.Plan, in.Prompts)
	f.OverAdmission = overAdmission(in.Plan, in.Prompts)
	f.Charges = judgeCharges(in.Charges, in.AtEnd.Ledgers)
	f.CrashP95Ratio = crashRatio(in.CrashedAt, measured)
	within := withinRate(in.Plan)
	f.countOutcomes(measured, within)
	f.countStandins(in.AtWarm, in.AtEnd)
	f.judgeCustomers(in.Plan, measured, within)
	return f
}

func (in Input) measured() []client.PromptResult {
	var measured []client.PromptResult
	for _, r := range in.Prompts {
		if r.Prompt.At >= in.Plan.Options.Warmup {
			measured = append(measured, r)
		}
	}
	return measured
}

func (f *Figures) countOutcomes(results []client.PromptResult, within map[int]bool) {
	for _, r := range results {
		if r.WrongText {
			f.WrongAnswers++
		}
		if r.Outcome != client.Complete {
			key := string(r.Outcome) + " " + r.Code
			if f.Codes[key] == 0 {
				f.CodeDetails[key] = r.Detail
			}
			f.Codes[key]++
		}
		switch r.Outcome {
		case client.Refused:
			f.Refused++
			if within[r.Prompt.ID] {
				f.Wrongful++
			}
		case client.Failed:
			f.Failed++
		case client.Truncated:
			f.Truncated++
			if r.Detail != "" {
				f.Broken++
			}
		}
		if r.Code == codeQuarantined || r.Code == codePoisonous {
			f.InnocentRefused++
		}
	}
}

// The codes of refusals that only a request that crashes engines may get.
const (
	codeQuarantined = "quarantined"
	codePoisonous   = "poisonous"
)

func (f *Figures) countStandins(warm, end host.Stats) {
	var prompt, cached int64
	for i, e := range end.Engines {
		prompt += e.PromptTokens - warm.Engines[i].PromptTokens
		cached += e.CachedTokens - warm.Engines[i].CachedTokens
		f.Recomputed += e.ComputedTokens - warm.Engines[i].ComputedTokens
		f.EnginesLost += len(e.Poisoned)
	}
	if prompt > 0 {
		f.PrefixHitRate = float64(cached) / float64(prompt)
	}
	f.ImportedKV = end.KV.Imported - warm.KV.Imported
	f.ExportedKV = end.KV.Exported - warm.KV.Exported
	f.StoreReads = end.Store.Reads - warm.Store.Reads
	f.StoreWrites = end.Store.Writes - warm.Store.Writes
	f.StoreWatches = end.Store.Watches - warm.Store.Watches
}

// judgeCustomers finds the customer with the largest p95 among those within
// their rate, and the median of their p95.
func (f *Figures) judgeCustomers(plan *scenario.Plan, results []client.PromptResult, within map[int]bool) {
	longest := longestTime(results)
	var p95s []float64
	for customer := range plan.Scenario.Shares {
		var own []time.Duration
		beyond, wrongful := 0, 0
		for _, r := range results {
			if r.Prompt.Customer != customer {
				continue
			}
			if !within[r.Prompt.ID] {
				beyond++
			} else if r.Outcome == client.Refused {
				wrongful++
			}
			if r.Outcome == client.Complete {
				own = append(own, r.TTFT())
			} else {
				own = append(own, longest)
			}
		}
		name := plan.Scenario.CustomerName(customer)
		f.Customers[name] = QuantilesOf(own)
		if len(own) == 0 || float64(beyond) > tolerableRefusals*float64(len(own)) {
			continue
		}
		f.WrongfulWithin += wrongful
		p95 := f.Customers[name].P95
		p95s = append(p95s, p95)
		if p95 > f.WorstTTFT95 {
			f.WorstCustomer, f.WorstTTFT95 = name, p95
		}
	}
	f.MedianTTFT95 = median(p95s)
}

func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sort.Float64s(values)
	middle := len(values) / 2
	if len(values)%2 == 1 {
		return values[middle]
	}
	return (values[middle-1] + values[middle]) / 2
}

const (
	// crashGrace is how long after a crash the tail may be longer.
	crashGrace = 5 * time.Second
	// crashWindow is the time over which the tail is compared.
	crashWindow = 15 * time.Second
)

// crashRatio compares the p95 of arrivals after a crash and its grace with that before it.
func crashRatio(crashedAt time.Duration, results []client.PromptResult) float64 {
	if crashedAt == 0 {
		return 0
	}
	before := between(results, crashedAt-crashWindow, crashedAt)
	after := between(results, crashedAt+crashGrace, crashedAt+crashGrace+crashWindow)
	if len(before) == 0 || len(after) == 0 {
		return 0
	}
	return QuantilesOf(times(after)).P95 / QuantilesOf(times(before)).P95
}

func between(results []client.PromptResult, from, to time.Duration) []client.PromptResult {
	var found []client.PromptResult
	for _, r := range results {
		if r.Prompt.At >= from && r.Prompt.At < to {
			found = append(found, r)
		}
	}
	return found
}
