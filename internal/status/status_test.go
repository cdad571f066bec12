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

// process is a source and a view of one process.
type process struct{ state membership.State }

func (process) Current() *object.Set         { return object.NewSet(7) }
func (process) Fresh() bool                  { return true }
func (process) Changed() <-chan struct{}     { return nil }
func (process) Members() []membership.Member { return nil }
func (p process) Self() membership.Member {
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

func TestProcessesThatDoNotAnswerAreLeftOut(t *testing.T) {
	leaving := process{state: membership.StateLeaving}
	server := wire.NewServer(&wirepb.Hello{Process: "agent-1"}, zerolog.Nop())
	server.Handle(wirepb.Kind_KIND_STATUS, Handler(leaving, leaving))
	listener, address := listen(t)
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Shutdown(context.Background()) }()
	// The silent one accepts connections and says nothing.
	_, silent := listen(t)
	gone, closed := listen(t)
	_ = gone.Close()

	pool := wire.NewPool(&wirepb.Hello{Process: "router-1"}, wire.NewDialer(""))
	defer pool.Close()
	answers := NewClient(pool).Ask(t.Context(), []string{silent, address, closed})
	want := Answer{Process: "agent-1", Revision: 7, Draining: true}
	if len(answers) != 1 || answers[address] != want {
		t.Fatalf("got %+v", answers)
	}
}
