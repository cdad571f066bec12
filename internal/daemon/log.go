package daemon

import (
	"io"
	"os"

	"github.com/greengagegate/greengagegate/internal/metrics"
	"github.com/rs/zerolog/diode"
)

// logLines is the number of lines that wait for a reader of the log. Further
// lines are dropped and counted, so that a full pipe never delays a request.
const logLines = 2000

func newLogOutput(l Log) io.WriteCloser {
	file := os.Stderr
	if l.Output == outputStdout {
		file = os.Stdout
	}
	return diode.NewWriter(keepOpen{file}, logLines, 0, func(missed int) {
		metrics.Counter("log.lines_dropped").Inc(int64(missed))
	})
}

// keepOpen hides Close, which would close the process's own output.
type keepOpen struct{ io.Writer }
