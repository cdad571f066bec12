package gateway

import (
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
)

// A question covers the connections that were open when it was sent, and no later ones.
func TestConfirmationsCoverOlderConnections(t *testing.T) {
	var c confirmations
	which := incarnation{id: "a", startedMillis: 1}
	at := func(ms int) bootclock.Instant { return bootclock.Instant(time.Duration(ms) * time.Millisecond) }
	if !c.begin(which, at(10), at(11)) {
		t.Fatal("want a question for the first connection")
	}
	if c.begin(which, at(9), at(12)) {
		t.Error("want no question for a connection that the open one covers")
	}
	if !c.begin(which, at(12), at(13)) {
		t.Error("want a question for a connection that was opened after the open one was sent")
	}
	if since := c.end(which, at(11), true); since != at(10) {
		t.Errorf("connections are uncertain since %v, want since the first one", since)
	}
	if since := c.end(which, at(13), false); since != at(10) {
		t.Errorf("connections are uncertain since %v after the last question, want since the first one", since)
	}
	if c.begin(which, at(11), at(14)) {
		t.Error("want no question for a connection that was open at the answered one")
	}
	if !c.begin(which, at(12), at(14)) {
		t.Error("want a question for a connection whose own was not answered")
	}
	c.end(which, at(14), true)
	if c.begin(which, at(14), at(15)) || !c.begin(which, at(16), at(17)) {
		t.Error("want a question only for a connection after the last answer")
	}
	if since := c.end(which, at(17), false); since != at(16) {
		t.Errorf("connections are uncertain since %v, want since the one after the answer", since)
	}
}
