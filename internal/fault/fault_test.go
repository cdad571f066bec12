package fault

import (
	"errors"
	"io"
	"testing"
)

func TestWrapKeepsCauseStepAndPeer(t *testing.T) {
	err := Wrap(Wrap(io.EOF, "read hello", "127.0.0.1:7"), "dial", "127.0.0.1:7")
	if !errors.Is(err, io.EOF) {
		t.Fatalf("the wrapped error is not io.EOF any more: %v", err)
	}
	if Step(err) != "dial" || Peer(err) != "127.0.0.1:7" {
		t.Fatalf("got step %q and peer %q, want dial and 127.0.0.1:7", Step(err), Peer(err))
	}
	want := "dial 127.0.0.1:7: read hello 127.0.0.1:7: EOF"
	if err.Error() != want {
		t.Fatalf("got %q, want %q", err.Error(), want)
	}
	if Wrap(nil, "dial", "x") != nil {
		t.Fatal("Wrap(nil) is not nil")
	}
}
