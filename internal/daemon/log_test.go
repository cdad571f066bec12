package daemon

import (
	"io"
	"testing"
	"time"

	"github.com/rs/zerolog/diode"
)

// blockedWriter is a log output whose Write blocks until release is closed.
type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

// Guards against a log output that blocks, such as a pipe that nobody reads, and
// delays the goroutines that write log lines. Lines beyond the buffer's capacity
// must be dropped and counted instead.
func TestBlockedLogOutputDoesNotDelayWriters(t *testing.T) {
	output := blockedWriter{release: make(chan struct{})}
	dropped := make(chan int, maxBufferedLogLines)
	var w io.WriteCloser = diode.NewWriter(output, maxBufferedLogLines, 0, func(count int) { dropped <- count })
	done := make(chan struct{})
	go func() {
		defer close(done)
		log := newLogger(w, Log{Level: "info"}, "p")
		for range 5 * maxBufferedLogLines {
			log.Info().Msg("line")
		}
	}()
	select {
	case <-done:
	case <-time.After(time.Minute):
		t.Fatal("writing log lines blocks while the output is blocked")
	}
	close(output.release)
	if count := <-dropped; count <= 0 {
		t.Errorf("got %d dropped lines, want at least 1", count)
	}
	_ = w.Close()
}
