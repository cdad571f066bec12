// Package fault annotates an error with the step that failed and the peer involved.
package fault

import (
	"github.com/ansel1/merry/v2"
)

type valueKey int

const (
	stepKey valueKey = iota
	peerKey
)

// Wrap returns err annotated with the step that failed and the address of the peer
// involved, and puts both before its message. It returns nil when err is nil. peer is
// empty when no peer was involved.
func Wrap(err error, step, peer string) error {
	if err == nil {
		return nil
	}
	prefix := step
	if peer != "" {
		prefix = step + " " + peer
	}
	return merry.Wrap(
		err,
		merry.WithValue(stepKey, step),
		merry.WithValue(peerKey, peer),
		merry.PrependMessage(prefix),
		merry.NoCaptureStack(),
	)
}

// New returns an error with a message, the step that failed and the address of the
// peer involved.
func New(message, step, peer string) error {
	return Wrap(merry.New(message, merry.NoCaptureStack()), step, peer)
}

// Step returns the outermost step recorded on err, or "" when there is none.
func Step(err error) string {
	step, _ := merry.Value(err, stepKey).(string)
	return step
}

// Peer returns the outermost peer recorded on err, or "" when there is none.
func Peer(err error) string {
	peer, _ := merry.Value(err, peerKey).(string)
	return peer
}
