package httpstore

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/greengagegate/greengagegate/internal/fault"
	"github.com/greengagegate/greengagegate/store"
)

const (
	watchBuffer       = 64
	maxWatchLineBytes = 2 * store.MaxValueBytes
)

// Watch implements store.Store.
func (c *Client) Watch(ctx context.Context, prefix string, after int64) (<-chan store.Object, error) {
	query := url.Values{ParamPrefix: {prefix}, ParamAfter: {strconv.FormatInt(after, 10)}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+PathWatch+"?"+query.Encode(), nil)
	if err != nil {
		return nil, fault.Wrap(err, "watch objects", c.base)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil, fault.Wrap(errors.Join(store.ErrUnavailable, err), "watch objects", c.base)
	}
	if response.StatusCode != http.StatusOK {
		defer func() { _ = response.Body.Close() }()
		return nil, fault.Wrap(refusalError(response, store.ErrUnavailable), "watch objects", c.base)
	}
	objects := make(chan store.Object, watchBuffer)
	go readWatch(ctx, response.Body, objects)
	return objects, nil
}

// readWatch closes objects when the stream breaks or ctx ends. Empty lines keep
// the connection alive and are skipped.
func readWatch(ctx context.Context, body io.ReadCloser, objects chan<- store.Object) {
	defer close(objects)
	defer func() { _ = body.Close() }()
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxWatchLineBytes)
	for lines.Scan() {
		if len(lines.Bytes()) == 0 {
			continue
		}
		var object store.Object
		if err := json.Unmarshal(lines.Bytes(), &object); err != nil {
			return
		}
		select {
		case objects <- object:
		case <-ctx.Done():
			return
		}
	}
}
