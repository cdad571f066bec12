package httpclient

import (
	"bufio"
	"context"
	"io"
)

// Lines parses each line of body and sends the result to values. It returns when
// the body ends, reading fails, a line is longer than maxBytes, parse fails, or ctx
// ends while it sends a value. The receiver cannot tell these cases apart. The end
// of ctx does not interrupt a blocked read of body. On return it closes body and
// values. It skips empty lines, which servers send to keep the connection alive.
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
