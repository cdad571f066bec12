package daemon

import (
	"io"
	"os"

	"github.com/greengagegate/greengagegate/internal/metrics"
	"github.com/rs/zerolog/diode"
)

// maxBufferedLogLines is the capacity, in lines, of the buffer between the logger
// and the output. When the buffer is full, lines are dropped and counted in the
// metric log.lines_dropped, so that a full pipe never delays a request.
const maxBufferedLogLines = 2000

// newLogOutput returns a writer that buffers lines for standard error or standard
// output. Its Write does not block. Its Close leaves the output open.
func newLogOutput(logSettings Log) io.WriteCloser {
	file := os.Stderr
	if logSettings.Output == outputStdout {
		file = os.Stdout
	}
	return diode.NewWriter(uncloseableWriter{file}, maxBufferedLogLines, 0, func(dropped int) {
		metrics.Counter("log.lines_dropped").Inc(int64(dropped))
	})
}

// uncloseableWriter hides the Close method of standard error or standard output:
// the buffer would call it when the buffer itself is closed.
type uncloseableWriter struct{ io.Writer }
