package gateway

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/greengagegate/greengagegate/internal/balancer"
	"github.com/greengagegate/greengagegate/internal/catalog"
	"github.com/greengagegate/greengagegate/internal/ratelimit"
	"github.com/rs/zerolog"
)

// An upstream whose responses are all malformed alike must not fill the log.
func TestMalformedNoticesAreLoggedOnce(t *testing.T) {
	var out bytes.Buffer
	n := &Notices{Balancer: balancer.New("zone", nil), Limits: ratelimit.New(ratelimit.Options{}), Log: zerolog.New(&out)}
	for range 100 {
		n.Apply(&catalog.Upstream{ID: "a"}, catalog.Notice{}, errors.New("malformed value"), 0)
	}
	n.Apply(&catalog.Upstream{ID: "a"}, catalog.Notice{}, errors.New("another value"), 0)
	if lines := strings.Count(out.String(), "\n"); lines != 2 {
		t.Errorf("%d lines were written, want 2", lines)
	}
}
