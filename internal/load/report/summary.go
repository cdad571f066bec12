// Package report summarizes the results of a whole measurement, compares them with
// the project's targets and renders them as a Markdown page and as a plot.
package report

import (
	"encoding/json"
	"fmt"
	"sort"

	"github.com/greengagegate/greengagegate/internal/load/overhead"
	"github.com/greengagegate/greengagegate/internal/load/run"
)

// Summary combines the repeats of one scenario and policy. Each number of the
// embedded Entry is the median of the repeats, the lower one for an even number of
// repeats. Min holds the smallest value of each number, Max the largest. This includes
// the seed, so the summary's seed is the median of the repeats' seeds. Everything else,
// including nested objects, comes from the first repeat.
type Summary struct {
	run.Entry
	Repeats int       `json:"repeats"`
	Min     run.Entry `json:"min"`
	Max     run.Entry `json:"max"`
}

// Results holds the results of a measurement. Its JSON encoding is the result file.
type Results struct {
	Commit  string    `json:"commit"`
	Seed    uint64    `json:"seed"`
	Cores   int       `json:"cores"`
	Mode    string    `json:"mode"`
	Entries []Summary `json:"entries"`
	// Surges and Crashes are the runs of the prefix policy with a surge of the first
	// customer and with a crash of a quarter of the engines.
	Surges   []run.Entry       `json:"surges,omitempty"`
	Crashes  []run.Entry       `json:"crashes,omitempty"`
	Overhead *overhead.Figures `json:"overhead,omitempty"`
	Targets  []Target          `json:"targets"`
}

// Summarize combines the repeats of one scenario and policy. It returns an error if
// entries is empty.
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
	for _, output := range []struct {
		target *run.Entry
		rank   int
	}{
		{&summary.Entry, (len(entries) - 1) / 2},
		{&summary.Min, 0},
		{&summary.Max, len(entries) - 1},
	} {
		if err := fillRanked(values, output.rank, output.target); err != nil {
			return Summary{}, err
		}
	}
	return summary, nil
}

// flatten returns the top-level JSON values of an entry by key.
func flatten(entry run.Entry) (map[string]any, error) {
	encoded, err := json.Marshal(entry)
	if err != nil {
		return nil, err
	}
	var flat map[string]any
	return flat, json.Unmarshal(encoded, &flat)
}

// fillRanked sets each number of target to the value at a rank, counted from 0, of
// the sorted values of that number. Numbers are ranked independently of each other.
func fillRanked(values []map[string]any, rank int, target *run.Entry) error {
	selected := make(map[string]any)
	for key, first := range values[0] {
		selected[key] = first
		if _, isNumber := first.(float64); isNumber {
			selected[key] = rankedNumber(values, key, rank)
		}
	}
	encoded, err := json.Marshal(selected)
	if err != nil {
		return err
	}
	return json.Unmarshal(encoded, target)
}

// rankedNumber returns the value at a rank of the sorted numbers under one key. A
// missing number counts as 0.
func rankedNumber(values []map[string]any, key string, rank int) float64 {
	var numbers []float64
	for _, flat := range values {
		number, _ := flat[key].(float64)
		numbers = append(numbers, number)
	}
	sort.Float64s(numbers)
	return numbers[rank]
}
