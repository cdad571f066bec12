package scenario

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"
)

// Streams of random numbers, so that one kind of arrival does not shift another.
const (
	streamPrompts = iota + 1
	streamSurge
	streamCharges
	streamRanks
	streamText
)

// Prompt is one arrival of a prompt.
type Prompt struct {
	ID       int
	At       time.Duration
	Customer int
	Document int
	// Own identifies the part after the document; a repeated prompt has the same.
	Own       int
	OwnBlocks int
	Output    int64
	// Router is the position of the router that the caller's balancer picks.
	Router int
}

// Charge is one arrival of a charge.
type Charge struct {
	ID       string
	At       time.Duration
	Customer int
	Router   int
	// RepeatAt is when the caller sends the charge again, 0 for never.
	RepeatAt     time.Duration
	RepeatRouter int
}

// PlanOptions describes a run.
type PlanOptions struct {
	Seed uint64
	// Warmup is not measured; Measured follows it.
	Warmup, Measured time.Duration
	Surge            bool
	// Shifts are times at which all documents change ranks at once.
	Shifts []time.Duration
}

// Length is the time during which requests arrive.
func (o PlanOptions) Length() time.Duration { return o.Warmup + o.Measured }

// Plan is everything that arrives in a run.
type Plan struct {
	Scenario Scenario
	Options  PlanOptions
	Prompts  []Prompt
	Charges  []Charge
	// Rates and Bursts are the customers' limits in tokens a second and tokens.
	Rates, Bursts []float64
}

// NewPlan derives a plan from its seed.
func NewPlan(s Scenario, o PlanOptions) *Plan {
	p := &Plan{Scenario: s, Options: o}
	g := newGenerator(s, o)
	p.Prompts = g.prompts()
	p.setLimits()
	if o.Surge {
		p.Prompts = append(p.Prompts, g.surge()...)
		sort.SliceStable(p.Prompts, func(i, j int) bool { return p.Prompts[i].At < p.Prompts[j].At })
	}
	for i := range p.Prompts {
		p.Prompts[i].ID = i
	}
	p.Charges = g.charges()
	return p
}

// setLimits gives each customer a limit in proportion to its planned use.
func (p *Plan) setLimits() {
	used := make([]float64, len(p.Scenario.Shares))
	for _, prompt := range p.Prompts {
		used[prompt.Customer] += float64(p.Cost(prompt))
	}
	for _, tokens := range used {
		rate := p.Scenario.RateFactor * tokens / p.Options.Length().Seconds()
		p.Rates = append(p.Rates, rate)
		p.Bursts = append(p.Bursts, rate*p.Scenario.BurstTime.Seconds())
	}
}

// Cost returns what a prompt counts against its customer's limit.
func (p *Plan) Cost(prompt Prompt) int64 {
	return p.PromptTokens(prompt) + prompt.Output
}

// PromptTokens returns the size of a prompt.
func (p *Plan) PromptTokens(prompt Prompt) int64 {
	return int64(p.Blocks(prompt) * p.Scenario.BlockTokens)
}

// Blocks returns the number of blocks of a prompt.
func (p *Plan) Blocks(prompt Prompt) int {
	return p.Scenario.RootBlocks + p.Scenario.documentBlocks(p.Options.Seed, prompt.Customer, prompt.Document) + prompt.OwnBlocks
}

// documentBlocks returns the size of a document, which is fixed by the seed.
func (s Scenario) documentBlocks(seed uint64, customer, document int) int {
	random := rand.New(rand.NewPCG(seed, uint64(streamText)<<32|uint64(customer)<<16|uint64(document)))
	return s.DocumentBlocks.draw(random)
}

func (r Range) draw(random *rand.Rand) int { return r.Min + random.IntN(r.Max-r.Min+1) }

type generator struct {
	scenario Scenario
	options  PlanOptions
	zipf     *zipf
	ranks    map[rankKey][]int
	recent   [][]Prompt // of each customer, not repeated ones
	owns     int
}

func newGenerator(s Scenario, o PlanOptions) *generator {
	return &generator{
		scenario: s,
		options:  o,
		zipf:     newZipf(s.Documents, s.ZipfExponent),
		ranks:    make(map[rankKey][]int),
		recent:   make([][]Prompt, len(s.Shares)),
	}
}

func (g *generator) random(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(g.options.Seed, stream))
}

// prompts draws the prompts of all customers as one Poisson process.
func (g *generator) prompts() []Prompt {
	random := g.random(streamPrompts)
	var prompts []Prompt
	at := time.Duration(0)
	for {
		at += exponential(random, g.scenario.PromptsPerSecond)
		if at >= g.options.Length() {
			return prompts
		}
		prompts = append(prompts, g.prompt(random, at, g.customer(random)))
	}
}

// surge draws what the first customer sends beyond its usual traffic. The
// surge's times count from the start of the measured part.
func (g *generator) surge() []Prompt {
	random := g.random(streamSurge)
	usual := g.scenario.PromptsPerSecond * g.scenario.Shares[0]
	extra := usual * (SurgeFactor*g.scenario.RateFactor - 1)
	var prompts []Prompt
	at := g.options.Warmup + SurgeFrom
	end := min(g.options.Warmup+SurgeUntil, g.options.Length())
	for {
		at += exponential(random, extra)
		if at >= end {
			return prompts
		}
		prompts = append(prompts, g.prompt(random, at, 0))
	}
}

func (g *generator) prompt(random *rand.Rand, at time.Duration, customer int) Prompt {
	repeat := random.Float64() < g.scenario.ResendShare
	router := random.IntN(g.scenario.Zones)
	if earlier := g.within(customer, at); repeat && len(earlier) > 0 {
		again := earlier[random.IntN(len(earlier))]
		again.At, again.Router = at, router
		return again
	}
	g.owns++
	fresh := Prompt{
		At:        at,
		Customer:  customer,
		Document:  g.document(customer, at, g.zipf.draw(random)),
		Own:       g.owns,
		OwnBlocks: g.scenario.OwnBlocks.draw(random),
		Output:    int64(g.scenario.OutputTokens.draw(random)),
		Router:    router,
	}
	g.recent[customer] = append(g.recent[customer], fresh)
	return fresh
}

// within returns the customer's fresh prompts that may be sent again at this time.
func (g *generator) within(customer int, at time.Duration) []Prompt {
	var found []Prompt
	for i := len(g.recent[customer]) - 1; i >= 0; i-- {
		earlier := g.recent[customer][i]
		if earlier.At <= at && at-earlier.At <= g.scenario.ResendWithin {
			found = append(found, earlier)
		}
		if at-earlier.At > g.scenario.ResendWithin {
			break
		}
	}
	return found
}

func (g *generator) customer(random *rand.Rand) int {
	point := random.Float64()
	for i, share := range g.scenario.Shares {
		if point < share {
			return i
		}
		point -= share
	}
	return len(g.scenario.Shares) - 1
}

func (g *generator) charges() []Charge {
	if g.scenario.ChargesPerSecond == 0 {
		return nil
	}
	random := g.random(streamCharges)
	var charges []Charge
	at := time.Duration(0)
	for {
		at += exponential(random, g.scenario.ChargesPerSecond)
		if at >= g.options.Length() {
			return charges
		}
		charge := Charge{
			ID:       fmt.Sprintf("charge-%d-%d", g.options.Seed, len(charges)),
			At:       at,
			Customer: g.customer(random),
			Router:   random.IntN(g.scenario.Zones),
		}
		if random.Float64() < g.scenario.RepeatShare {
			charge.RepeatAt = at + time.Duration(random.Float64()*float64(g.scenario.RepeatWithin))
			charge.RepeatRouter = (charge.Router + 1 + random.IntN(g.scenario.Zones-1)) % g.scenario.Zones
		}
		charges = append(charges, charge)
	}
}

func exponential(random *rand.Rand, perSecond float64) time.Duration {
	return time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
}
