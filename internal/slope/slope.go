// Package slope records how a part's cost grows with a size, for the capacity
// page. Measurements are tests that run only when asked for with -slopes.
package slope

import (
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"syscall"
	"time"
)

// Point is the cost of one part at one size.
type Point struct {
	// Name says what was measured.
	Name string `json:"name"`
	// Size is the number of units that the cost depends on.
	Size float64 `json:"size"`
	// Unit says what Size counts.
	Unit string `json:"unit,omitempty"`
	// BytesPerSecond is what one process sends and receives.
	BytesPerSecond float64 `json:"bytes_per_s"`
	// CPUMicrosPerSecond is the processor time of one process.
	CPUMicrosPerSecond float64 `json:"cpu_us_per_s"`
	// HeapBytes is the live heap of one process's part.
	HeapBytes float64 `json:"heap_bytes"`
}

// Prefix marks the lines that hold points in a test's output.
const Prefix = "slope: "

// Print writes a point as one line of JSON behind Prefix.
func Print(w io.Writer, p Point) error {
	line, err := json.Marshal(p)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "%s%s\n", Prefix, line)
	return err
}

// Usage is a reading of the process's processor time and live heap.
type Usage struct {
	CPU  time.Duration
	Heap uint64
}

// Read collects garbage and returns the present usage.
func Read() Usage {
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return Usage{CPU: cpuTime(), Heap: memory.HeapAlloc}
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
