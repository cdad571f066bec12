package gateway

import (
	"bytes"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/catalog"
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

// BenchmarkLine tells what a request's line costs, diode and writer left out.
func BenchmarkLine(b *testing.B) {
	g := New(Options{Catalog: catalog.New(), Log: zerolog.New(io.Discard).With().Timestamp().Logger()})
	j := &job{
		gateway: g, arrived: bootclock.Now(), call: &Call{ID: "fdf2108414378c70", Patience: time.Second},
		config: &catalog.Config{Version: 7}, route: &catalog.Route{Name: "check", Kind: catalog.Stream},
		sends: []sendRecord{{upstream: "i-0981279dfb", result: "answered", took: time.Second}},
	}
	j.request.Model, j.outcome.reason, j.outcome.status, j.outcome.firstByte = "m", "answered", 200, time.Second
	b.ReportAllocs()
	for b.Loop() {
		j.writeLine("agents", time.Second, true)
	}
}

// A request that was served at once is ordinary, and one in sampleEvery has a line.
// One that took another attempt has its line always.
func TestRetriedRequestsHaveTheirLine(t *testing.T) {
	var out bytes.Buffer
	g := New(Options{Catalog: catalog.New(), Log: zerolog.New(&out)})
	end := func(id int, sends ...sendRecord) {
		j := &job{gateway: g, arrived: bootclock.Now(), call: &Call{ID: fmt.Sprint("request-", id)}, sends: sends}
		j.outcome.status, j.outcome.reason = 200, "answered"
		j.finish()
	}
	const requests = 10 * sampleEvery
	for id := range requests {
		end(id, sendRecord{upstream: "a", result: "answered"})
	}
	sampled := bytes.Count(out.Bytes(), []byte("\n"))
	if sampled == 0 || sampled > requests/4 {
		t.Errorf("%d of %d ordinary requests have a line", sampled, requests)
	}
	out.Reset()
	for id := range maxLinesPerSecond / 4 {
		end(id, sendRecord{upstream: "a", result: "ended"}, sendRecord{upstream: "b", result: "answered"})
	}
	if got := bytes.Count(out.Bytes(), []byte("\n")); got != maxLinesPerSecond/4 {
		t.Errorf("%d of %d retried requests have a line", got, maxLinesPerSecond/4)
	}
}
