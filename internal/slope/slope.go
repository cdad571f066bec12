// Package slope records the cost of a component at several sizes, for the capacity
// page. Measurements are tests that run only with the test flag -slopes.
package slope

import (
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"syscall"
	"time"
)

// Point is the measured cost of one component at one size. The points of
// once.store_calls hold store calls per second in BytesPerSecond.
type Point struct {
	// Name identifies the measurement. Points of the same measurement share it.
	Name string `json:"name"`
	// Size is the number of units on which the cost depends.
	Size float64 `json:"size"`
	// Unit names what Size counts.
	Unit string `json:"unit,omitempty"`
	// BytesPerSecond is the number of bytes that one process sends and receives per
	// second.
	BytesPerSecond float64 `json:"bytes_per_s"`
	// CPUMicrosPerSecond is the processor time of one process in microseconds per
	// second.
	CPUMicrosPerSecond float64 `json:"cpu_us_per_s"`
	// HeapBytes is the live heap that the component uses in one process.
	HeapBytes float64 `json:"heap_bytes"`
}

// Prefix starts the lines of a test's output that hold points.
const Prefix = "slope: "

// Print writes a point as one line: Prefix followed by JSON.
func Print(w io.Writer, p Point) error {
	line, err := json.Marshal(p)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "%s%s\n", Prefix, line)
	return err
}

// Usage is the processor time of this process since its start and the size of its
// live heap in bytes.
type Usage struct {
	CPU  time.Duration
	Heap uint64
}

// Read runs a garbage collection and returns the current usage.
func Read() Usage {
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return Usage{CPU: processCPUTime(), Heap: memory.HeapAlloc}
}

// processCPUTime returns the user and system time of this process, 0 if it cannot be
// read.
func processCPUTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
