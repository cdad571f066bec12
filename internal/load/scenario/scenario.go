// Package scenario defines the measured workloads and derives from a seed the
// arrivals of each, which are the same whatever serves them.
package scenario

import (
	"fmt"
	"time"
)

// Range is an inclusive range of whole numbers.
type Range struct {
	Min, Max int
}

// Mean returns the middle of the range.
func (r Range) Mean() float64 { return float64(r.Min+r.Max) / 2 }

// Scenario describes a fleet and its workload.
type Scenario struct {
	Name     string
	Engines  int
	Services int
	Zones    int
	// ZoneDelay and ClientDelay are one-way.
	ZoneDelay   time.Duration
	ClientDelay time.Duration

	BlockTokens int
	// Shares are the customers' shares of the traffic.
	Shares []float64
	// RootBlocks is the part of a prompt that all of a customer's prompts share.
	RootBlocks int
	// Documents is the number of documents of each customer, asked for by a Zipf law.
	Documents      int
	ZipfExponent   float64
	DocumentBlocks Range
	// OwnBlocks is the part of a prompt after the document.
	OwnBlocks Range
	// ResendShare of the prompts repeat one of the last ResendWithin.
	ResendShare  float64
	ResendWithin time.Duration
	// ShuffleEvery is how often the documents change ranks.
	ShuffleEvery time.Duration
	OutputTokens Range

	PromptsPerSecond float64
	ChargesPerSecond float64
	// RepeatShare of the charges are sent again through another router within RepeatWithin.
	RepeatShare  float64
	RepeatWithin time.Duration

	// RateFactor and BurstTime give each customer's limit from its mean use.
	RateFactor float64
	BurstTime  time.Duration

	// LoadTime is how long new weights take alone, LoadsAtOnce how many loads do not slow each other.
	LoadTime    time.Duration
	LoadsAtOnce int
}

// The surge of the first customer: a multiple of its rate for a part of the run.
const (
	SurgeFactor = 5.0
	SurgeFrom   = 20 * time.Second
	SurgeUntil  = 40 * time.Second
)

// All returns the scenarios in the order in which they are measured.
func All() []Scenario { return []Scenario{limon(), letak()} }

// Named returns the scenario with this name.
func Named(name string) (Scenario, error) {
	for _, s := range All() {
		if s.Name == name {
			return s, nil
		}
	}
	return Scenario{}, fmt.Errorf("unknown scenario %q", name)
}

func limon() Scenario {
	return Scenario{
		Name:             "limon",
		Engines:          20,
		Services:         3,
		Zones:            3,
		ZoneDelay:        1500 * time.Microsecond,
		ClientDelay:      3 * time.Millisecond,
		BlockTokens:      2000,
		Shares:           []float64{0.45, 0.25, 0.15, 0.10, 0.05},
		RootBlocks:       4,
		Documents:        60,
		ZipfExponent:     1.1,
		DocumentBlocks:   Range{4, 8},
		OwnBlocks:        Range{1, 3},
		ResendShare:      0.3,
		ResendWithin:     10 * time.Second,
		ShuffleEvery:     20 * time.Second,
		OutputTokens:     Range{20, 120},
		PromptsPerSecond: 30,
		ChargesPerSecond: 5,
		RepeatShare:      0.1,
		RepeatWithin:     3 * time.Second,
		RateFactor:       1.3,
		BurstTime:        10 * time.Second,
		LoadTime:         time.Second,
		LoadsAtOnce:      3,
	}
}

func letak() Scenario {
	s := limon()
	s.Name = "letak"
	s.Engines = 10
	s.ZoneDelay = 500 * time.Microsecond
	s.ClientDelay = time.Millisecond
	s.Shares = []float64{0.50, 0.25, 0.12, 0.08, 0.05}
	s.RootBlocks = 6
	s.Documents = 40
	s.DocumentBlocks = Range{3, 3}
	s.OwnBlocks = Range{4, 10}
	s.ResendShare = 0.5
	s.ResendWithin = 20 * time.Second
	s.ShuffleEvery = 30 * time.Second
	s.OutputTokens = Range{10, 60}
	s.PromptsPerSecond = 11
	s.ChargesPerSecond = 8
	s.LoadTime = 2 * time.Second
	s.LoadsAtOnce = 2
	return s
}

// CustomerName returns the name of a customer by its position in Shares.
func (s Scenario) CustomerName(customer int) string {
	return fmt.Sprintf("%s-customer-%d", s.Name, customer+1)
}
