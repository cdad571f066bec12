package httpstore

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"strconv"

	"github.com/greengagegate/greengagegate/internal/fault"
	"github.com/greengagegate/greengagegate/internal/httpclient"
	"github.com/greengagegate/greengagegate/store"
)

const (
	// watchBuffer is the number of received changes that a watch buffers.
	watchBuffer = 64
	// maxWatchLineBytes leaves room for a value of the maximum size in base64 and for
	// the other fields of the object.
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
	go httpclient.Lines(ctx, response.Body, maxWatchLineBytes, parseObject, objects)
	return objects, nil
}

func parseObject(line []byte) (store.Object, error) {
	var object store.Object
	err := json.Unmarshal(line, &object)
	return object, err
}
