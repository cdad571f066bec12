// Package scenario defines the measured workloads and derives the arrivals of each
// from a seed. The arrivals do not depend on how fast requests are served, so that
// all placement policies are measured with the same load.
package scenario

import (
	"fmt"
	"time"
)

// Range is an inclusive range of whole numbers.
type Range struct {
	Min, Max int
}

// Mean returns the mean of a uniform distribution over the range.
func (r Range) Mean() float64 { return float64(r.Min+r.Max) / 2 }

// Scenario describes a fleet and its workload.
type Scenario struct {
	Name     string
	Engines  int
	Services int
	Zones    int
	// OneWayZoneDelay is the one-way network delay between zones, ClientDelay the one
	// between callers and routers.
	OneWayZoneDelay time.Duration
	ClientDelay     time.Duration

	// BlockTokens is the size of a block in tokens.
	BlockTokens int
	// Shares are the customers' shares of the traffic. Their sum is 1.
	Shares []float64
	// RootBlocks is the number of blocks at the start of a prompt that all prompts
	// of a customer share.
	RootBlocks int
	// Documents is the number of documents of each customer. Prompts choose among
	// them by a Zipf distribution with ZipfExponent.
	Documents      int
	ZipfExponent   float64
	DocumentBlocks Range
	// OwnBlocks is the number of blocks after the document.
	OwnBlocks Range
	// ResendFraction is the fraction of prompts that resend one that was first sent
	// within the last ResendWindow.
	ResendFraction float64
	ResendWindow   time.Duration
	// ShuffleInterval is the time after which the documents change their ranks in
	// the Zipf distribution.
	ShuffleInterval time.Duration
	OutputTokens    Range

	PromptsPerSecond float64
	ChargesPerSecond float64
	// RepeatFraction is the fraction of charges that are sent a second time through
	// another router, at a random time within RepeatWindow.
	RepeatFraction float64
	RepeatWindow   time.Duration

	// RateFactor is the ratio of a customer's limit to its mean use. BurstTime is the
	// time in which the limit refills a whole burst.
	RateFactor float64
	BurstTime  time.Duration

	// WeightLoadTime is how long an engine takes to load new weights while at most
	// FullSpeedLoads engines load. FullSpeedLoads is the number of concurrent loads that
	// do not slow each other down.
	WeightLoadTime time.Duration
	FullSpeedLoads int
}

// The surge of the first customer: SurgeFactor is the ratio of its traffic to its
// limit. SurgeStart and SurgeEnd count from the start of the measured part.
const (
	SurgeFactor = 5.0
	SurgeStart  = 20 * time.Second
	SurgeEnd    = 40 * time.Second
)

// All returns the scenarios in the order in which they are measured.
func All() []Scenario { return []Scenario{limon(), letak()} }

// ByName returns the scenario with this name. It fails if there is none.
func ByName(name string) (Scenario, error) {
	for _, s := range All() {
		if s.Name == name {
			return s, nil
		}
	}
	return Scenario{}, fmt.Errorf("unknown scenario %q", name)
}

// limon has 20 engines, long documents and short own texts, so that most of a
// prompt can be cached.
func limon() Scenario {
	return Scenario{
		Name:             "limon",
		Engines:          20,
		Services:         3,
		Zones:            3,
		OneWayZoneDelay:  1500 * time.Microsecond,
		ClientDelay:      3 * time.Millisecond,
		BlockTokens:      2000,
		Shares:           []float64{0.45, 0.25, 0.15, 0.10, 0.05},
		RootBlocks:       4,
		Documents:        60,
		ZipfExponent:     1.1,
		DocumentBlocks:   Range{4, 8},
		OwnBlocks:        Range{1, 3},
		ResendFraction:   0.3,
		ResendWindow:     10 * time.Second,
		ShuffleInterval:  20 * time.Second,
		OutputTokens:     Range{20, 120},
		PromptsPerSecond: 30,
		ChargesPerSecond: 5,
		RepeatFraction:   0.1,
		RepeatWindow:     3 * time.Second,
		RateFactor:       1.3,
		BurstTime:        10 * time.Second,
		WeightLoadTime:   time.Second,
		FullSpeedLoads:   3,
	}
}

// letak has 10 engines, shorter documents and longer own texts than limon, more
// resends and more charges. The parameters that it does not set are those of limon.
func letak() Scenario {
	s := limon()
	s.Name = "letak"
	s.Engines = 10
	s.OneWayZoneDelay = 500 * time.Microsecond
	s.ClientDelay = time.Millisecond
	s.Shares = []float64{0.50, 0.25, 0.12, 0.08, 0.05}
	s.RootBlocks = 6
	s.Documents = 40
	s.DocumentBlocks = Range{3, 3}
	s.OwnBlocks = Range{4, 10}
	s.ResendFraction = 0.5
	s.ResendWindow = 20 * time.Second
	s.ShuffleInterval = 30 * time.Second
	s.OutputTokens = Range{10, 60}
	s.PromptsPerSecond = 11
	s.ChargesPerSecond = 8
	s.WeightLoadTime = 2 * time.Second
	s.FullSpeedLoads = 2
	return s
}

// CustomerName returns the name of a customer by its position in Shares.
func (s Scenario) CustomerName(customer int) string {
	return fmt.Sprintf("%s-customer-%d", s.Name, customer+1)
}
