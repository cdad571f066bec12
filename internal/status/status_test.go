package status

import (
	"context"
	"net"
	"testing"

	"github.com/greengagegate/greengagegate/internal/object"
	"github.com/greengagegate/greengagegate/internal/wire"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/greengagegate/greengagegate/membership"
	"github.com/rs/zerolog"
)

// fakeProcess is the object.Source and the membership.View of a process whose
// configuration has revision 7.
type fakeProcess struct{ state membership.State }

func (fakeProcess) Current() *object.Set         { return object.NewSet(7) }
func (fakeProcess) IsFresh() bool                { return true }
func (fakeProcess) Changed() <-chan struct{}     { return nil }
func (fakeProcess) Members() []membership.Member { return nil }
func (p fakeProcess) Self() membership.Member {
	return membership.Member{Process: "agent-1", State: p.state}
}

func listen(t *testing.T) (net.Listener, string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener, listener.Addr().String()
}

// Guards against a query that fails as a whole, or returns empty answers, when
// some processes do not answer: one accepts the connection but sends nothing, so
// that its query times out, and another one refuses the connection.
func TestAskOmitsProcessesThatDoNotAnswer(t *testing.T) {
	leaving := fakeProcess{state: membership.StateLeaving}
	server := wire.NewServer(&wirepb.Hello{Process: "agent-1"}, zerolog.Nop())
	server.Handle(wirepb.Kind_KIND_STATUS, Handler(leaving, leaving))
	listener, address := listen(t)
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Shutdown(context.Background()) }()
	// No server accepts on this listener, so connections succeed but get no reply.
	_, unresponsive := listen(t)
	closedListener, refusing := listen(t)
	_ = closedListener.Close()

	pool := wire.NewPool(&wirepb.Hello{Process: "router-1"}, wire.NewDialer(""))
	defer pool.Close()
	answers := NewClient(pool).Query(t.Context(), []string{unresponsive, address, refusing})
	want := ProcessStatus{Process: "agent-1", Revision: 7, Draining: true}
	if len(answers) != 1 || answers[address] != want {
		t.Fatalf("got answers %+v", answers)
	}
}
