// Package report writes the outcome of a whole measurement as JSON, as a
// Markdown table and as a plot, and compares it with the project's targets.
package report

import (
	"encoding/json"
	"fmt"
	"sort"

	"github.com/greengagegate/greengagegate/internal/load/overhead"
	"github.com/greengagegate/greengagegate/internal/load/run"
)

// Summary is the repeats of one scenario and policy: medians, smallest and
// largest values. Text comes from the first repeat.
type Summary struct {
	run.Entry
	Repeats int       `json:"repeats"`
	Min     run.Entry `json:"min"`
	Max     run.Entry `json:"max"`
}

// File is the outcome of a measurement.
type File struct {
	Commit  string    `json:"commit"`
	Seed    uint64    `json:"seed"`
	Cores   int       `json:"cores"`
	Mode    string    `json:"mode"`
	Entries []Summary `json:"entries"`
	// Surges and Crashes are the product's runs with a surge and with a crash
	// of a quarter of the engines.
	Surges   []run.Entry       `json:"surges,omitempty"`
	Crashes  []run.Entry       `json:"crashes,omitempty"`
	Overhead *overhead.Figures `json:"overhead,omitempty"`
	Targets  []Target          `json:"targets"`
}

// Summarize joins the repeats of one scenario and policy. It fails when there are none.
func Summarize(entries []run.Entry) (Summary, error) {
	if len(entries) == 0 {
		return Summary{}, fmt.Errorf("no repeats")
	}
	summary := Summary{Repeats: len(entries)}
	var values []map[string]any
	for _, entry := range entries {
		flat, err := flatten(entry)
		if err != nil {
			return Summary{}, err
		}
		values = append(values, flat)
	}
	for _, part := range []struct {
		target *run.Entry
		rank   int
	}{
		{&summary.Entry, (len(entries) - 1) / 2},
		{&summary.Min, 0},
		{&summary.Max, len(entries) - 1},
	} {
		if err := ranked(values, part.rank, part.target); err != nil {
			return Summary{}, err
		}
	}
	return summary, nil
}

func flatten(entry run.Entry) (map[string]any, error) {
	encoded, err := json.Marshal(entry)
	if err != nil {
		return nil, err
	}
	var flat map[string]any
	return flat, json.Unmarshal(encoded, &flat)
}

// ranked fills an entry with the value of a rank for each number on its own.
func ranked(values []map[string]any, rank int, target *run.Entry) error {
	picked := make(map[string]any)
	for key, first := range values[0] {
		picked[key] = first
		if _, isNumber := first.(float64); isNumber {
			picked[key] = rankedNumber(values, key, rank)
		}
	}
	encoded, err := json.Marshal(picked)
	if err != nil {
		return err
	}
	return json.Unmarshal(encoded, target)
}

func rankedNumber(values []map[string]any, key string, rank int) float64 {
	var numbers []float64
	for _, flat := range values {
		number, _ := flat[key].(float64)
		numbers = append(numbers, number)
	}
	sort.Float64s(numbers)
	return numbers[rank]
}
