package plainsvc

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"

	"github.com/greengagegate/greengagegate/internal/service"
)

// TestLedgerCountsExecutionsAcrossCrashes guards against a ledger that loses or hides
// executions: each execution of a repeated charge must count, and a charge must count when
// the service crashes after its execution, but not when it crashes before.
func TestLedgerCountsExecutionsAcrossCrashes(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	m := New(Options{Address: address})
	if err := m.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(m.Stop)
	driver := service.NewHTTP("http://" + address)
	charge := func(id string) error {
		// Repeat until the service is up again after a crash.
		for {
			_, err := driver.Do(context.Background(), service.Call{
				RequestID: "r-" + id,
				Method:    http.MethodPost,
				Path:      "/charges",
				Body:      []byte(`{"id":"` + id + `","account":"a","amount":1}`),
			})
			if !errors.Is(err, service.ErrNotSent) {
				return err
			}
		}
	}
	steps := []struct {
		id             string
		crash          CrashPoint
		wantErr        error
		wantExecutions int
	}{
		{"one", "", nil, 1},
		{"one", "", nil, 2},
		{"two", CrashBefore, service.ErrOutcomeUnknown, 0},
		{"three", CrashAfter, service.ErrOutcomeUnknown, 1},
		{"four", "", nil, 1},
	}
	for _, step := range steps {
		m.Crash(step.crash)
		if err := charge(step.id); !errors.Is(err, step.wantErr) {
			t.Fatalf("charge %s: unexpected result %v", step.id, err)
		}
		executions := 0
		for _, entry := range m.Ledger().Entries {
			if entry.ID == step.id {
				executions = entry.Executions
			}
		}
		if executions != step.wantExecutions {
			t.Fatalf("the ledger counts charge %s as executed %d times", step.id, executions)
		}
	}
}
