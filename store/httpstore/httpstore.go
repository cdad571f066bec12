// Package httpstore implements store.Store over HTTP. Objects are read and changed
// at /v1/objects/KEY; each change specifies the expected version of the object.
package httpstore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/greengagegate/greengagegate/internal/fault"
	"github.com/greengagegate/greengagegate/internal/httpclient"
	"github.com/greengagegate/greengagegate/store"
)

// Paths and query parameters of the service.
const (
	PathObjects = "/v1/objects/"
	PathList    = "/v1/list"
	PathWatch   = "/v1/watch"
	PathHosts   = "/v1/hosts"

	ParamExpected = "expected"
	ParamPrefix   = "prefix"
	ParamAfter    = "after"
)

// Values of Refusal.Code.
const (
	CodeNotFound    = "not_found"
	CodeConflict    = "conflict"
	CodeUnavailable = "unavailable"
	CodeCompacted   = "compacted"
)

const (
	maxRefusalBytes = 4 << 10
	// maxObjectBytes bounds an answer with one object, maxListingBytes one with a list.
	maxObjectBytes  = 4 << 20
	maxListingBytes = 64 << 20
)

// Refusal is the body of a response that refuses a call with one of the codes. Other
// responses with a status other than 200 may have no such body.
type Refusal struct {
	Code string `json:"code"`
}

// Written is the response body of a change. Version is the object's new version after a
// put, and is not used after a delete.
type Written struct {
	Version int64 `json:"version"`
}

// Listing is the response body of a list call. Version is the store version.
type Listing struct {
	Objects []store.Object `json:"objects"`
	Version int64          `json:"version"`
}

// Client implements store.Store and store.HostLister. It never retries a change:
// when the response to a change is lost, it returns store.ErrUnknownOutcome. Nothing in a
// response names the call that it answers, so each call has a connection of its own.
type Client struct {
	base   string
	client *http.Client
}

var (
	_ store.Store      = (*Client)(nil)
	_ store.HostLister = (*Client)(nil)
)

// New returns a client of the service at the base URL, such as "http://127.0.0.1:7400".
func New(base string) *Client {
	return &Client{base: base, client: httpclient.NewSingleUse()}
}

// Close closes idle connections.
func (c *Client) Close() { c.client.CloseIdleConnections() }

// Get implements store.Store.
func (c *Client) Get(ctx context.Context, key string) (store.Object, error) {
	var object store.Object
	err := c.read(ctx, PathObjects+url.PathEscape(key), maxObjectBytes, &object)
	return object, fault.Wrap(err, "get object", c.base)
}

// List implements store.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]store.Object, int64, error) {
	var listing Listing
	err := c.read(ctx, PathList+"?"+url.Values{ParamPrefix: {prefix}}.Encode(), maxListingBytes, &listing)
	return listing.Objects, listing.Version, fault.Wrap(err, "list objects", c.base)
}

// Hosts implements store.HostLister.
func (c *Client) Hosts(ctx context.Context) ([]store.Host, error) {
	var hosts []store.Host
	err := c.read(ctx, PathHosts, maxListingBytes, &hosts)
	return hosts, fault.Wrap(err, "list hosts", c.base)
}

// Put implements store.Store.
func (c *Client) Put(ctx context.Context, key string, value []byte, expected int64) (int64, error) {
	version, err := c.write(ctx, http.MethodPut, key, value, expected)
	return version, fault.Wrap(err, "put object", c.base)
}

// Delete implements store.Store.
func (c *Client) Delete(ctx context.Context, key string, expected int64) error {
	_, err := c.write(ctx, http.MethodDelete, key, nil, expected)
	return fault.Wrap(err, "delete object", c.base)
}

// read gets an answer of at most limit bytes and decodes it into out.
func (c *Client) read(ctx context.Context, path string, limit int64, out any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return err
	}
	response, err := c.client.Do(request)
	if err != nil {
		return errors.Join(store.ErrUnavailable, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return refusalError(response, store.ErrUnavailable)
	}
	if err := httpclient.DecodeJSON(response.Body, limit, out); err != nil {
		return errors.Join(store.ErrUnavailable, err)
	}
	return nil
}

// write sends a change once. Before a connection is established the change cannot
// have been sent, so a failure is store.ErrUnavailable; after that, a missing
// response leaves the outcome unknown.
func (c *Client) write(ctx context.Context, method, key string, value []byte, expected int64) (int64, error) {
	target := c.base + PathObjects + url.PathEscape(key) + "?" + ParamExpected + "=" + strconv.FormatInt(expected, 10)
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(value))
	if err != nil {
		return 0, errors.Join(store.ErrUnavailable, err)
	}
	response, connected, err := httpclient.Do(c.client, request)
	if err != nil && !connected {
		return 0, errors.Join(store.ErrUnavailable, err)
	}
	if err != nil {
		return 0, errors.Join(store.ErrUnknownOutcome, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return 0, refusalError(response, store.ErrUnknownOutcome)
	}
	var written Written
	if err := httpclient.DecodeJSON(response.Body, maxObjectBytes, &written); err != nil {
		return 0, errors.Join(store.ErrUnknownOutcome, err)
	}
	return written.Version, nil
}

// refusalError returns the error for the refusal code in the response body. When
// the body has no known code, or the status is not that of an error, it returns fallback
// joined with the HTTP status.
func refusalError(response *http.Response, fallback error) error {
	if response.StatusCode < http.StatusBadRequest {
		return errors.Join(fallback, errors.New(response.Status))
	}
	var refusal Refusal
	_ = json.NewDecoder(io.LimitReader(response.Body, maxRefusalBytes)).Decode(&refusal)
	switch refusal.Code {
	case CodeNotFound:
		return store.ErrNotFound
	case CodeConflict:
		return store.ErrConflict
	case CodeUnavailable:
		return store.ErrUnavailable
	case CodeCompacted:
		return store.ErrCompacted
	default:
		return errors.Join(fallback, errors.New(response.Status))
	}
}
