// Package capacity works out what each role costs at the planned size from
// measured slopes, and keeps the tables of docs/CAPACITY.md in step with them.
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

// ReadRecord reads a record from a file.
func ReadRecord(file string) (Record, error) {
	var record Record
	data, err := os.ReadFile(file)
	if err != nil {
		return record, err
	}
	return record, json.Unmarshal(data, &record)
}

// Cost is what something costs one process.
type Cost struct {
	BytesPerSecond     float64
	CPUMicrosPerSecond float64
	HeapBytes          float64
}

func (c Cost) plus(other Cost) Cost {
	return Cost{
		BytesPerSecond:     c.BytesPerSecond + other.BytesPerSecond,
		CPUMicrosPerSecond: c.CPUMicrosPerSecond + other.CPUMicrosPerSecond,
		HeapBytes:          c.HeapBytes + other.HeapBytes,
	}
}

func (c Cost) times(factor float64) Cost {
	return Cost{c.BytesPerSecond * factor, c.CPUMicrosPerSecond * factor, c.HeapBytes * factor}
}

// Fit is a measured relation between a size and a cost.
type Fit struct {
	points []slope.Point
}

// Fit returns the points with a name, ordered by size.
func (r Record) Fit(name string) (Fit, error) {
	var fit Fit
	for _, point := range r.Points {
		if point.Name == name {
			fit.points = append(fit.points, point)
		}
	}
	if len(fit.points) < 3 {
		return fit, fmt.Errorf("%q has %d points, needs 3", name, len(fit.points))
	}
	sort.Slice(fit.points, func(i, j int) bool { return fit.points[i].Size < fit.points[j].Size })
	return fit, nil
}

// Max returns the largest measured size.
func (f Fit) Max() float64 { return f.points[len(f.points)-1].Size }

// At returns the cost at a size: between two measured sizes by linear
// interpolation, outside of them along the line through the nearest two.
func (f Fit) At(size float64) Cost {
	high := 1
	for high < len(f.points)-1 && f.points[high].Size < size {
		high++
	}
	a, b := f.points[high-1], f.points[high]
	share := (size - a.Size) / (b.Size - a.Size)
	along := func(x, y float64) float64 { return math.Max(0, x+(y-x)*share) }
	return Cost{
		BytesPerSecond:     along(a.BytesPerSecond, b.BytesPerSecond),
		CPUMicrosPerSecond: along(a.CPUMicrosPerSecond, b.CPUMicrosPerSecond),
		HeapBytes:          along(a.HeapBytes, b.HeapBytes),
	}
}

const (
	beginMarker = "<!-- computed: begin -->"
	endMarker   = "<!-- computed: end -->"
)

// split returns the page before, within and after the markers.
func split(page string) (before, computed, after string, err error) {
	before, rest, ok := strings.Cut(page, beginMarker+"\n")
	if !ok {
		return "", "", "", fmt.Errorf("the page lacks %q", beginMarker)
	}
	computed, after, ok = strings.Cut(rest, endMarker)
	if !ok {
		return "", "", "", fmt.Errorf("the page lacks %q", endMarker)
	}
	return before, computed, after, nil
}

// Computed returns the part of the page that the slopes determine.
func Computed(page string) (string, error) {
	_, computed, _, err := split(page)
	return computed, err
}

// Update returns the page with its computed part replaced.
func Update(page string, record Record) (string, error) {
	before, _, after, err := split(page)
	if err != nil {
		return "", err
	}
	tables, err := Tables(record)
	if err != nil {
		return "", err
	}
	return before + beginMarker + "\n" + tables + endMarker + after, nil
}

// UpdatePage replaces the computed part of the page in a file.
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
