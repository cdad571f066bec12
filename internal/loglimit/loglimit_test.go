package loglimit

import (
	"bytes"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// A burst of events could flood the log with one line per request. The log must stay
// within its bound and report the number of suppressed lines in the next second.
func TestLogLinesPerSecondAreBounded(t *testing.T) {
	const perSecond = 100
	var out bytes.Buffer
	limiter := New(zerolog.New(&out), "component", perSecond)
	second := time.Unix(1_000, 0)
	allowed := 0
	for range 50 * perSecond {
		if limiter.Reserve(second) {
			allowed++
		}
	}
	if allowed != perSecond {
		t.Errorf("%d lines allowed in a second, want %d", allowed, perSecond)
	}
	if !limiter.Reserve(second.Add(time.Second)) {
		t.Error("no line allowed in the next second")
	}
	if want := `"lines":4900`; !bytes.Contains(out.Bytes(), []byte(want)) {
		t.Errorf("log %s lacks %s", out.Bytes(), want)
	}
}
