package evaluate

import (
	"sort"
	"time"

	"github.com/greengagegate/greengagegate/internal/load/client"
	"github.com/greengagegate/greengagegate/internal/load/scenario"
	"github.com/greengagegate/greengagegate/internal/standin/host"
)

// maxBeyondRateShare is the share of a customer's requests that an exact bucket may
// refuse while the customer still counts as within its rate.
const maxBeyondRateShare = 0.01

// Input holds everything that a run recorded.
type Input struct {
	Plan    *scenario.Plan
	Prompts []client.PromptResult
	Charges []client.ChargeResult
	// AtWarmupEnd and AtEnd are the stand-ins' counters at the end of the warm-up and at
	// the end of the run.
	AtWarmupEnd, AtEnd host.Stats
	// CrashedAt is the time in the run at which a part of the engines crashed at
	// once, 0 if that did not happen.
	CrashedAt time.Duration
}

// Figures holds the figures of one run.
type Figures struct {
	Requests      int     `json:"requests"`
	PrefixHitRate float64 `json:"prefix_hit_rate"`
	TTFT50        float64 `json:"ttft_p50_ms"`
	TTFT95        float64 `json:"ttft_p95_ms"`
	TTFT99        float64 `json:"ttft_p99_ms"`
	// Recomputed counts the tokens that engines computed in prefill: uncached prompt
	// tokens and, for resumed runs, the tokens generated before. Needed counts the
	// prompt tokens that would be computed if all engines shared one cache of
	// unlimited size.
	Recomputed    int64   `json:"recomputed_tokens"`
	Needed        int64   `json:"needed_tokens"`
	WorstCustomer string  `json:"worst_customer"`
	WorstTTFT95   float64 `json:"worst_customer_ttft_p95_ms"`
	MedianTTFT95  float64 `json:"median_customer_ttft_p95_ms"`
	Refused       int     `json:"refused"`
	// WrongfulRefusals counts the refused prompts that an exact token bucket admits.
	WrongfulRefusals int `json:"wrongful_refusals"`
	// WrongfulRefusalsWithinRate counts the wrongful refusals of customers within their
	// rate. Customers beyond their rate are left out, since for them the routers refuse
	// other requests than an exact bucket would.
	WrongfulRefusalsWithinRate int `json:"wrongful_refusals_within_rate"`
	Failed                     int `json:"failed"`
	Truncated                  int `json:"truncated_streams"`
	// Broken counts the truncated streams that ended with an error: the connection
	// broke, for example because a router was killed, or an event could not be parsed.
	Broken       int `json:"broken_connections"`
	WrongAnswers int `json:"wrong_answers"`
	// OverAdmission is the largest number of tokens by which a customer exceeded its
	// rate and burst in any time window.
	OverAdmission float64 `json:"over_admission_tokens"`
	// InnocentRefused counts prompts that were refused as if they crashed engines.
	// None of the counted prompts does.
	InnocentRefused int `json:"innocents_refused"`
	Charges
	// EnginesPoisoned counts the crashes of engines by poison requests in the whole run.
	EnginesPoisoned int     `json:"engines_lost_to_poison"`
	ImportedKV      int64   `json:"kv_imported_blocks"`
	ExportedKV      int64   `json:"kv_exported_blocks"`
	StoreReads      int64   `json:"store_reads"`
	StoreWrites     int64   `json:"store_writes"`
	StoreWatches    int64   `json:"store_watches"`
	CrashP95Ratio   float64 `json:"crash_p95_ratio,omitempty"`
	// Codes counts the prompts that did not complete by outcome and error code.
	Codes map[string]int `json:"codes,omitempty"`
	// CodeDetails holds the step and message of the first prompt counted under each
	// key of Codes.
	CodeDetails map[string]string    `json:"code_details,omitempty"`
	Customers   map[string]Quantiles `json:"customers"`
}

// Evaluate computes the figures of a run. Requests that arrived during the warm-up
// count only for over-admission, charges and engines crashed by poison.
func Evaluate(in Input) Figures {
	measured := in.measuredPrompts()
	f := Figures{Requests: len(measured), Codes: make(map[string]int), CodeDetails: make(map[string]string), Customers: make(map[string]Quantiles)}
	ttft := QuantilesOf(firstTokenTimes(measured))
	f.TTFT50, f.TTFT95, f.TTFT99 = ttft.P50, ttft.P95, ttft.P99
	f.Needed = neededTokens(in.Plan, in.Prompts)
	f.OverAdmission = overAdmission(in.Plan, in.Prompts)
	f.Charges = evaluateCharges(in.Charges, in.AtEnd.Ledgers)
	f.CrashP95Ratio = crashP95Ratio(in.CrashedAt, measured)
	admitted := admittedByExactBucket(in.Plan)
	f.countOutcomes(measured, admitted)
	f.countStandinStats(in.AtWarmupEnd, in.AtEnd)
	f.evaluateCustomers(in.Plan, measured, admitted)
	return f
}

// measuredPrompts returns the results of the prompts that arrived after the warm-up.
func (in Input) measuredPrompts() []client.PromptResult {
	var measured []client.PromptResult
	for _, r := range in.Prompts {
		if r.Prompt.At >= in.Plan.Options.Warmup {
			measured = append(measured, r)
		}
	}
	return measured
}

// countOutcomes counts the outcomes of prompts. admitted holds, by prompt ID,
// whether an exact bucket admits the prompt; the refusal of an admitted prompt is
// wrongful.
func (f *Figures) countOutcomes(results []client.PromptResult, admitted map[int]bool) {
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
			if admitted[r.Prompt.ID] {
				f.WrongfulRefusals++
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

// Error codes with which only requests that crash engines may be refused.
const (
	codeQuarantined = "quarantined"
	codePoisonous   = "poisonous"
)

// countStandinStats sets the figures that the stand-ins counted between the end of
// the warm-up and the end of the run. EnginesPoisoned covers the whole run.
func (f *Figures) countStandinStats(warm, end host.Stats) {
	var promptTokens, cachedTokens int64
	for i, e := range end.Engines {
		promptTokens += e.PromptTokens - warm.Engines[i].PromptTokens
		cachedTokens += e.CachedTokens - warm.Engines[i].CachedTokens
		f.Recomputed += e.ComputedTokens - warm.Engines[i].ComputedTokens
		f.EnginesPoisoned += len(e.Poisoned)
	}
	if promptTokens > 0 {
		f.PrefixHitRate = float64(cachedTokens) / float64(promptTokens)
	}
	f.ImportedKV = end.KV.Imported - warm.KV.Imported
	f.ExportedKV = end.KV.Exported - warm.KV.Exported
	f.StoreReads = end.Store.Reads - warm.Store.Reads
	f.StoreWrites = end.Store.Writes - warm.Store.Writes
	f.StoreWatches = end.Store.Watches - warm.Store.Watches
}

// evaluateCustomers computes the quantiles of the time to the first token of each
// customer. Of the customers within their rate it finds the one with the largest
// p95 and the median of their p95 values.
func (f *Figures) evaluateCustomers(plan *scenario.Plan, results []client.PromptResult, admitted map[int]bool) {
	longest := longestWait(results)
	var p95s []float64
	for customer := range plan.Scenario.Shares {
		var ttfts []time.Duration
		beyondRate, wrongful := 0, 0
		for _, r := range results {
			if r.Prompt.Customer != customer {
				continue
			}
			if !admitted[r.Prompt.ID] {
				beyondRate++
			} else if r.Outcome == client.Refused {
				wrongful++
			}
			if r.Outcome == client.Complete {
				ttfts = append(ttfts, r.TTFT())
			} else {
				ttfts = append(ttfts, longest)
			}
		}
		name := plan.Scenario.CustomerName(customer)
		f.Customers[name] = QuantilesOf(ttfts)
		if len(ttfts) == 0 || float64(beyondRate) > maxBeyondRateShare*float64(len(ttfts)) {
			continue
		}
		f.WrongfulRefusalsWithinRate += wrongful
		p95 := f.Customers[name].P95
		p95s = append(p95s, p95)
		if p95 > f.WorstTTFT95 {
			f.WorstCustomer, f.WorstTTFT95 = name, p95
		}
	}
	f.MedianTTFT95 = median(p95s)
}

// median returns the median of values, 0 if there are none. It sorts values.
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
	// crashGrace is the time after a crash during which arriving prompts are left out
	// of the comparison.
	crashGrace = 5 * time.Second
	// crashWindow is the length of the compared periods before and after the crash.
	crashWindow = 15 * time.Second
)

// crashP95Ratio returns the p95 of the time to the first token of prompts that
// arrived after a crash and its grace period, divided by the p95 before the crash.
// It returns 0 if there was no crash or if either period has no arrivals.
func crashP95Ratio(crashedAt time.Duration, results []client.PromptResult) float64 {
	if crashedAt == 0 {
		return 0
	}
	before := arrivedBetween(results, crashedAt-crashWindow, crashedAt)
	after := arrivedBetween(results, crashedAt+crashGrace, crashedAt+crashGrace+crashWindow)
	if len(before) == 0 || len(after) == 0 {
		return 0
	}
	return QuantilesOf(firstTokenTimes(after)).P95 / QuantilesOf(firstTokenTimes(before)).P95
}

// arrivedBetween returns the results of the prompts that arrived at or after from
// and before to.
func arrivedBetween(results []client.PromptResult, from, to time.Duration) []client.PromptResult {
	var arrived []client.PromptResult
	for _, r := range results {
		if r.Prompt.At >= from && r.Prompt.At < to {
			arrived = append(arrived, r)
		}
	}
	return arrived
}
