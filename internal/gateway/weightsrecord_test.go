package gateway

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/catalog"
	"github.com/rs/zerolog"
)

// The line of a request must tell why it was allowed on older weights.
func TestLineTellsWhyOlderWeightsWereAllowed(t *testing.T) {
	var out bytes.Buffer
	g := New(Options{Catalog: catalog.New(), Log: zerolog.New(&out)})
	now := bootclock.Now()
	g.Catalog.SetTargetVersions(nil, now.Add(-time.Minute))
	g.Catalog.SetTargetVersions(map[string]int64{"m": 4}, now.Add(-9*time.Second))
	g.Catalog.SetTargetVersions(map[string]int64{"m": 5}, now.Add(-2*time.Second))
	target := g.Catalog.TargetVersion("m")
	for id := range 4 * sampleInterval {
		j := &job{gateway: g, arrivedAt: now, call: &Call{ID: fmt.Sprint("request-", id)}, attempts: []attemptRecord{{upstream: "a", result: "answered"}}}
		j.pickRequest.Model, j.outcome.status, j.outcome.reason = "m", 200, "answered"
		j.outcome.weights = newWeightsRecord(3, 0, target, 10*time.Second, now)
		j.finish()
	}
	if got := bytes.Count(out.Bytes(), []byte(`"weights":"recent","min_version":0,"versions":"4=9000 5=2000","weights_left_ms":1000`)); got != 4*sampleInterval {
		t.Errorf("%d of %d lines tell the basis: %s", got, 4*sampleInterval, out.Bytes()[:min(out.Len(), 600)])
	}
}

// Of the versions that are known, only the newest needs no reason.
func TestBasisOfWeights(t *testing.T) {
	c, now := catalog.New(), bootclock.Now()
	c.SetTargetVersions(map[string]int64{"m": 5}, now)
	assumed := c.TargetVersion("m")
	c.SetTargetVersions(map[string]int64{"m": 6}, now)
	for _, test := range []struct {
		version, minVersion int64
		target              catalog.TargetVersion
		want                weightsBasis
	}{
		{5, 5, assumed, weightsNewest},
		{4, 5, assumed, weightsUnknownAge},
		{5, 0, c.TargetVersion("m"), weightsRecent},
		{6, 0, c.TargetVersion("m"), weightsNewest},
	} {
		if got := newWeightsRecord(test.version, test.minVersion, test.target, time.Second, now).basis; got != test.want {
			t.Errorf("version %d, at least %d: basis %q, want %q", test.version, test.minVersion, got, test.want)
		}
	}
}
