package daemon

import (
	"io"
	"testing"
	"time"

	"github.com/rs/zerolog/diode"
)

// stuck is a reader of the log that takes nothing.
type stuck struct{ release chan struct{} }

func (s stuck) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// A full pipe drops lines and counts them; it delays nobody.
func TestStuckReaderDelaysNobody(t *testing.T) {
	s := stuck{release: make(chan struct{})}
	dropped := make(chan int, logLines)
	var w io.WriteCloser = diode.NewWriter(s, logLines, 0, func(missed int) { dropped <- missed })
	done := make(chan struct{})
	go func() {
		defer close(done)
		log := newLogger(w, Log{Level: "info"}, "p")
		for range 5 * logLines {
			log.Info().Msg("line")
		}
	}()
	select {
	case <-done:
	case <-time.After(time.Minute):
		t.Fatal("writing waits for the reader")
	}
	close(s.release)
	if missed := <-dropped; missed <= 0 {
		t.Errorf("%d lines counted as dropped", missed)
	}
	_ = w.Close()
}
