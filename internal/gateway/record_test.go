package gateway

import (
	"bytes"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// In a burst of failures the lines stay within their bound, and what was left
// out is counted and told.
func TestLinesStayWithinTheirBound(t *testing.T) {
	var out bytes.Buffer
	r := newRecorder(zerolog.New(&out))
	second := time.Unix(1_000, 0)
	allowed := 0
	for range 50 * maxLinesPerSecond {
		if r.allow(second) {
			allowed++
		}
	}
	if allowed != maxLinesPerSecond {
		t.Errorf("%d lines in a second, want %d", allowed, maxLinesPerSecond)
	}
	if !r.allow(second.Add(time.Second)) {
		t.Error("no line in the next second")
	}
	if want := `"lines":4900`; !bytes.Contains(out.Bytes(), []byte(want)) {
		t.Errorf("log %s lacks %s", out.Bytes(), want)
	}
}
