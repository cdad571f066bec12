package contain

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/greengagegate/greengagegate/internal/invariant"
	"github.com/rs/zerolog"
)

// A task that panics starts again, until it returns.
func TestLoopRestartsAfterPanic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		runs := 0
		Loop(t.Context(), zerolog.New(&out), "mirror", "servers/", func(context.Context) {
			if runs++; runs < 3 {
				panic("malformed entry")
			}
		})
		if runs != 3 {
			t.Errorf("the task ran %d times, want 3", runs)
		}
		for _, want := range []string{"malformed entry", "servers/", "contain_test.go"} {
			if !strings.Contains(out.String(), want) {
				t.Errorf("the log lacks %q", want)
			}
		}
	})
}

// A task that always panics ends with its context.
func TestLoopEndsWithContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	Loop(ctx, zerolog.Nop(), "mirror", "servers/", func(context.Context) {
		cancel()
		panic("again")
	})
}

// A violated invariant must still fail the test that violates it.
func TestViolationIsNotContained(t *testing.T) {
	defer func() {
		if _, ok := recover().(invariant.Violation); !ok {
			t.Error("the violation was contained")
		}
	}()
	defer Panics(zerolog.Nop(), "test", "")
	invariant.Check(false, "contain.test", "violated on purpose")
}
