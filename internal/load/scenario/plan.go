package scenario

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"
)

// The streams of random numbers. Each kind of arrival draws from its own stream, so
// that a change in one kind does not change the others.
const (
	streamPrompts = iota + 1
	streamSurge
	streamCharges
	streamDocumentRanks
	streamDocumentSizes
)

// Prompt is one arrival of a prompt. Its text consists of the blocks that all
// prompts of the customer share, the blocks of a document, and its own blocks.
type Prompt struct {
	// ID is the position in Plan.Prompts.
	ID int
	// At is the scheduled arrival, counted from the start of the run.
	At time.Duration
	// Customer and Document are positions, counted from 0. Each customer has its
	// own documents.
	Customer int
	Document int
	// Own identifies the text after the document. A resent prompt keeps it.
	Own       int
	OwnBlocks int
	// Output is the number of tokens to generate.
	Output int64
	// Router is the position of the router that the caller's balancer prefers.
	Router int
}

// Charge is one arrival of a charge. Times count from the start of the run.
type Charge struct {
	// ID is also the idempotency key.
	ID       string
	At       time.Duration
	Customer int
	Router   int
	// RepeatAt is when the caller sends the charge a second time, through
	// RepeatRouter, even if the first attempt succeeded; 0 means never.
	RepeatAt     time.Duration
	RepeatRouter int
}

// PlanOptions describes the arrivals of a run.
type PlanOptions struct {
	Seed uint64
	// Warmup is the duration of the first part, which is not measured. Measured is
	// the duration of the part that follows.
	Warmup, Measured time.Duration
	// Surge is true if the first customer exceeds its limit for a part of the run.
	Surge bool
	// ExtraShuffles are additional times of the run at which the documents of all
	// customers change ranks.
	ExtraShuffles []time.Duration
}

// Length returns the duration in which requests arrive.
func (o PlanOptions) Length() time.Duration { return o.Warmup + o.Measured }

// Plan holds all requests that arrive in a run, in the order of their arrival, and
// the limits of the customers. It does not change after NewPlan.
type Plan struct {
	Scenario Scenario
	Options  PlanOptions
	Prompts  []Prompt
	Charges  []Charge
	// Rates and Bursts are the customers' limits, in tokens per second and in tokens.
	Rates, Bursts []float64
}

// NewPlan derives a plan from a scenario and a seed. Equal arguments give equal
// plans. The surge is added after the limits are set, so that it does not raise them.
func NewPlan(s Scenario, o PlanOptions) *Plan {
	p := &Plan{Scenario: s, Options: o}
	g := newGenerator(s, o)
	p.Prompts = g.drawPrompts()
	p.setLimits()
	if o.Surge {
		p.Prompts = append(p.Prompts, g.drawSurge()...)
		sort.SliceStable(p.Prompts, func(i, j int) bool { return p.Prompts[i].At < p.Prompts[j].At })
	}
	for i := range p.Prompts {
		p.Prompts[i].ID = i
	}
	p.Charges = g.drawCharges()
	return p
}

// setLimits sets each customer's rate to RateFactor times the mean rate of its
// planned tokens, and its burst to what that rate refills in BurstTime.
func (p *Plan) setLimits() {
	plannedTokens := make([]float64, len(p.Scenario.Shares))
	for _, prompt := range p.Prompts {
		plannedTokens[prompt.Customer] += float64(p.Cost(prompt))
	}
	for _, tokens := range plannedTokens {
		rate := p.Scenario.RateFactor * tokens / p.Options.Length().Seconds()
		p.Rates = append(p.Rates, rate)
		p.Bursts = append(p.Bursts, rate*p.Scenario.BurstTime.Seconds())
	}
}

// Cost returns the number of tokens by which a prompt counts against its
// customer's limit: the prompt and the requested output.
func (p *Plan) Cost(prompt Prompt) int64 {
	return p.PromptTokens(prompt) + prompt.Output
}

// PromptTokens returns the size of a prompt in tokens, without its output.
func (p *Plan) PromptTokens(prompt Prompt) int64 {
	return int64(p.Blocks(prompt) * p.Scenario.BlockTokens)
}

// Blocks returns the number of blocks of a prompt.
func (p *Plan) Blocks(prompt Prompt) int {
	return p.Scenario.RootBlocks + p.Scenario.documentBlocks(p.Options.Seed, prompt.Customer, prompt.Document) + prompt.OwnBlocks
}

// documentBlocks returns the size of a document in blocks, which depends only on
// the seed, the customer and the document.
func (s Scenario) documentBlocks(seed uint64, customer, document int) int {
	random := rand.New(rand.NewPCG(seed, uint64(streamDocumentSizes)<<32|uint64(customer)<<16|uint64(document)))
	return s.DocumentBlocks.sample(random)
}

// sample returns a uniformly distributed number of the range.
func (r Range) sample(random *rand.Rand) int { return r.Min + random.IntN(r.Max-r.Min+1) }

// generator draws the arrivals of one plan. The order of its draws from a stream
// decides the plan.
type generator struct {
	scenario        Scenario
	options         PlanOptions
	rankSampler     *zipfSampler
	documentsByRank map[rankingKey][]int
	// firstSends holds the prompts of each customer that are not resends, in the order
	// in which they were drawn: first the base traffic, then the surge, each by time.
	firstSends [][]Prompt
	lastOwn    int
}

func newGenerator(s Scenario, o PlanOptions) *generator {
	return &generator{
		scenario:        s,
		options:         o,
		rankSampler:     newZipfSampler(s.Documents, s.ZipfExponent),
		documentsByRank: make(map[rankingKey][]int),
		firstSends:      make([][]Prompt, len(s.Shares)),
	}
}

// newRand returns the random numbers of a stream from their start.
func (g *generator) newRand(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(g.options.Seed, stream))
}

// drawPrompts draws the arrivals of all customers as one Poisson process, without
// the surge.
func (g *generator) drawPrompts() []Prompt {
	random := g.newRand(streamPrompts)
	var prompts []Prompt
	at := time.Duration(0)
	for {
		at += drawInterval(random, g.scenario.PromptsPerSecond)
		if at >= g.options.Length() {
			return prompts
		}
		prompts = append(prompts, g.drawPrompt(random, at, g.drawCustomer(random)))
	}
}

// drawSurge draws the prompts that the first customer sends beyond its base traffic,
// so that both together are SurgeFactor times its limit. SurgeStart and SurgeEnd
// count from the start of the measured part.
func (g *generator) drawSurge() []Prompt {
	random := g.newRand(streamSurge)
	baseRate := g.scenario.PromptsPerSecond * g.scenario.Shares[0]
	extraRate := baseRate * (SurgeFactor*g.scenario.RateFactor - 1)
	var prompts []Prompt
	at := g.options.Warmup + SurgeStart
	end := min(g.options.Warmup+SurgeEnd, g.options.Length())
	for {
		at += drawInterval(random, extraRate)
		if at >= end {
			return prompts
		}
		prompts = append(prompts, g.drawPrompt(random, at, 0))
	}
}

// drawPrompt draws one prompt of a customer: with probability ResendFraction a
// resend of a recent prompt, if there is one, and otherwise a new prompt.
func (g *generator) drawPrompt(random *rand.Rand, at time.Duration, customer int) Prompt {
	isResend := random.Float64() < g.scenario.ResendFraction
	router := random.IntN(g.scenario.Zones)
	if candidates := g.resendCandidates(customer, at); isResend && len(candidates) > 0 {
		resend := candidates[random.IntN(len(candidates))]
		resend.At, resend.Router = at, router
		return resend
	}
	g.lastOwn++
	prompt := Prompt{
		At:        at,
		Customer:  customer,
		Document:  g.documentAtRank(customer, at, g.rankSampler.sample(random)),
		Own:       g.lastOwn,
		OwnBlocks: g.scenario.OwnBlocks.sample(random),
		Output:    int64(g.scenario.OutputTokens.sample(random)),
		Router:    router,
	}
	g.firstSends[customer] = append(g.firstSends[customer], prompt)
	return prompt
}

// resendCandidates returns the customer's prompts that were first sent within the
// ResendWindow before this time. It searches firstSends backwards and stops at the
// first older prompt. In firstSends, all surge prompts follow the base prompts. For a
// surge prompt, the search therefore reaches the base prompts only if it does not
// first meet a surge prompt older than ResendWindow.
func (g *generator) resendCandidates(customer int, at time.Duration) []Prompt {
	var candidates []Prompt
	for i := len(g.firstSends[customer]) - 1; i >= 0; i-- {
		earlier := g.firstSends[customer][i]
		if earlier.At <= at && at-earlier.At <= g.scenario.ResendWindow {
			candidates = append(candidates, earlier)
		}
		if at-earlier.At > g.scenario.ResendWindow {
			break
		}
	}
	return candidates
}

// drawCustomer returns a customer with the probability of its share of the traffic.
func (g *generator) drawCustomer(random *rand.Rand) int {
	point := random.Float64()
	for i, share := range g.scenario.Shares {
		if point < share {
			return i
		}
		point -= share
	}
	return len(g.scenario.Shares) - 1
}

// drawCharges draws the charges of all customers as one Poisson process. A repeat
// goes through another router than the charge itself.
func (g *generator) drawCharges() []Charge {
	if g.scenario.ChargesPerSecond == 0 {
		return nil
	}
	random := g.newRand(streamCharges)
	var charges []Charge
	at := time.Duration(0)
	for {
		at += drawInterval(random, g.scenario.ChargesPerSecond)
		if at >= g.options.Length() {
			return charges
		}
		charge := Charge{
			ID:       fmt.Sprintf("charge-%d-%d", g.options.Seed, len(charges)),
			At:       at,
			Customer: g.drawCustomer(random),
			Router:   random.IntN(g.scenario.Zones),
		}
		if random.Float64() < g.scenario.RepeatFraction {
			charge.RepeatAt = at + time.Duration(random.Float64()*float64(g.scenario.RepeatWindow))
			charge.RepeatRouter = (charge.Router + 1 + random.IntN(g.scenario.Zones-1)) % g.scenario.Zones
		}
		charges = append(charges, charge)
	}
}

// drawInterval returns the time to the next arrival of a Poisson process.
func drawInterval(random *rand.Rand, perSecond float64) time.Duration {
	return time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
}
