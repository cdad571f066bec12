package stand

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitNotRun = 2
)

// Trouble reports whether the case plays its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Record is the file record.txt of a case: what was sent, answered and run.
type Record struct {
	start time.Time

	mu  sync.Mutex
	out *bufio.Writer
	f   *os.File
}

// NewRecord creates the record of a case in review/NAME. The case runs in the repository's root.
func NewRecord(name string) (*Record, error) {
	f, err := os.Create(filepath.Join("review", name, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &Record{start: time.Now(), f: f, out: bufio.NewWriter(f)}, nil
}

// Since returns the time since the start of the record, in seconds.
func (r *Record) Since(at time.Time) float64 { return at.Sub(r.start).Seconds() }

// Line writes a line for something that happened at an instant.
func (r *Record) Line(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%9.3f  %s\n", at.Sub(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Say writes a line to the record and to standard output.
func (r *Record) Say(format string, args ...any) {
	r.Line(time.Now(), format, args...)
	fmt.Printf(format+"\n", args...)
}

// Close writes the file.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.f.Close()
}
