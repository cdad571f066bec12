package httpclient

import (
	"bufio"
	"context"
	"io"
)

// Lines parses the lines of a body and sends what they hold to values. It closes
// both when the body ends, a line is longer than maxBytes or malformed, or ctx
// ends. Empty lines keep the connection alive and are skipped.
func Lines[T any](ctx context.Context, body io.ReadCloser, maxBytes int, parse func(line []byte) (T, error), values chan<- T) {
	defer close(values)
	defer func() { _ = body.Close() }()
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxBytes)
	for lines.Scan() {
		if len(lines.Bytes()) == 0 {
			continue
		}
		value, err := parse(lines.Bytes())
		if err != nil {
			return
		}
		select {
		case values <- value:
		case <-ctx.Done():
			return
		}
	}
}
