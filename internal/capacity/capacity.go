// Package capacity computes the cost of each role at the planned size from measured
// costs at several sizes, and writes the results into the tables of
// docs/CAPACITY.md.
package capacity

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"sort"
	"strings"

	"github.com/greengagegate/greengagegate/internal/slope"
)

// Record is the content of measure/slopes.json.
type Record struct {
	Points []slope.Point `json:"points"`
}

// ReadRecord reads a record from a JSON file.
func ReadRecord(file string) (Record, error) {
	var record Record
	data, err := os.ReadFile(file)
	if err != nil {
		return record, err
	}
	return record, json.Unmarshal(data, &record)
}

// Cost is the cost of a component to one process. BytesPerSecond counts bytes sent
// and received.
type Cost struct {
	BytesPerSecond     float64
	CPUMicrosPerSecond float64
	HeapBytes          float64
}

func (c Cost) add(other Cost) Cost {
	return Cost{
		BytesPerSecond:     c.BytesPerSecond + other.BytesPerSecond,
		CPUMicrosPerSecond: c.CPUMicrosPerSecond + other.CPUMicrosPerSecond,
		HeapBytes:          c.HeapBytes + other.HeapBytes,
	}
}

func (c Cost) scaledBy(factor float64) Cost {
	return Cost{c.BytesPerSecond * factor, c.CPUMicrosPerSecond * factor, c.HeapBytes * factor}
}

// Curve is a measured relation between size and cost, linear between points: at least
// three points, ordered by size.
type Curve struct {
	points []slope.Point
}

// Curve returns the relation that was measured under a name. It returns an error if
// there are fewer than three points.
func (r Record) Curve(name string) (Curve, error) {
	var curve Curve
	for _, point := range r.Points {
		if point.Name == name {
			curve.points = append(curve.points, point)
		}
	}
	if len(curve.points) < 3 {
		return curve, fmt.Errorf("measurement %q has %d points, need at least 3", name, len(curve.points))
	}
	sort.Slice(curve.points, func(i, j int) bool { return curve.points[i].Size < curve.points[j].Size })
	return curve, nil
}

// MaxSize returns the largest measured size.
func (c Curve) MaxSize() float64 { return c.points[len(c.points)-1].Size }

// CostAt returns the cost at a size: between two measured sizes by linear
// interpolation, outside the measured range on the line through the nearest two
// points. No part of the cost is negative.
func (c Curve) CostAt(size float64) Cost {
	high := 1
	for high < len(c.points)-1 && c.points[high].Size < size {
		high++
	}
	a, b := c.points[high-1], c.points[high]
	fraction := (size - a.Size) / (b.Size - a.Size)
	interpolate := func(x, y float64) float64 { return math.Max(0, x+(y-x)*fraction) }
	return Cost{
		BytesPerSecond:     interpolate(a.BytesPerSecond, b.BytesPerSecond),
		CPUMicrosPerSecond: interpolate(a.CPUMicrosPerSecond, b.CPUMicrosPerSecond),
		HeapBytes:          interpolate(a.HeapBytes, b.HeapBytes),
	}
}

const (
	beginMarker = "<!-- computed: begin -->"
	endMarker   = "<!-- computed: end -->"
)

// splitPage returns the parts of a page before, between and after the markers. It
// returns an error if a marker is missing.
func splitPage(page string) (before, computed, after string, err error) {
	before, rest, ok := strings.Cut(page, beginMarker+"\n")
	if !ok {
		return "", "", "", fmt.Errorf("the page has no marker %q", beginMarker)
	}
	computed, after, ok = strings.Cut(rest, endMarker)
	if !ok {
		return "", "", "", fmt.Errorf("the page has no marker %q", endMarker)
	}
	return before, computed, after, nil
}

// ComputedPart returns the part of the page that is computed from the record.
func ComputedPart(page string) (string, error) {
	_, computed, _, err := splitPage(page)
	return computed, err
}

// Update returns the page with its computed part replaced by the tables of the
// record.
func Update(page string, record Record) (string, error) {
	before, _, after, err := splitPage(page)
	if err != nil {
		return "", err
	}
	tables, err := Tables(record)
	if err != nil {
		return "", err
	}
	return before + beginMarker + "\n" + tables + endMarker + after, nil
}

// UpdatePage replaces the computed part of the page in a file. It leaves the file
// unchanged if the page lacks a marker or the record lacks a measurement.
func UpdatePage(file string, record Record) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	page, err := Update(string(data), record)
	if err != nil {
		return err
	}
	return os.WriteFile(file, []byte(page), 0o644)
}
