package httpengine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/greengagegate/greengagegate/internal/engine"
	"github.com/greengagegate/greengagegate/internal/fault"
	"github.com/greengagegate/greengagegate/internal/httpclient"
)

const (
	maxSmallBodyBytes  = 4 << 10 // of a refusal, or of an answer that is discarded
	maxAnswerBytes     = 1 << 20 // of any other answer to a call
	maxCacheEventBytes = 1 << 20 // longest line of the cache event stream
	cacheEventBuffer   = 256     // events
)

// Driver is an engine.Driver for the engine at one base URL. Each call has its own
// connection, so that a late answer cannot be mistaken for the answer to another
// call. The engine runs on the same host, where a connection costs little.
type Driver struct {
	baseURL string
	client  *http.Client
}

var _ engine.Driver = (*Driver)(nil)

// New returns a driver for the engine at baseURL, such as "http://127.0.0.1:8000".
func New(baseURL string) *Driver {
	disableCompression := func(transport *http.Transport) { transport.DisableCompression = true }
	return &Driver{baseURL: baseURL, client: httpclient.NewSingleUse(disableCompression)}
}

// Close closes the idle connections.
func (d *Driver) Close() { d.client.CloseIdleConnections() }

// Run implements engine.Driver. It returns when the engine has accepted or refused the request.
func (d *Driver) Run(ctx context.Context, request engine.RunRequest) (engine.Run, error) {
	header, err := encodeRunHeader(request)
	if err != nil {
		return nil, fault.Wrap(errors.Join(engine.ErrUnreachable, err), "encode run", d.baseURL)
	}
	body := io.MultiReader(bytes.NewReader(header), bytes.NewReader(request.Prompt), bytes.NewReader(request.Generated))
	length := int64(len(header) + len(request.Prompt) + len(request.Generated))
	ctx, cancel := context.WithCancel(ctx)
	response, err := send(ctx, d.client, http.MethodPost, d.baseURL+PathRun, body, length)
	if err != nil {
		cancel()
		return nil, fault.Wrap(err, "start run", d.baseURL)
	}
	return &run{
		baseURL:   d.baseURL,
		requestID: request.RequestID,
		body:      response.Body,
		reader:    bufio.NewReader(response.Body),
		cancel:    cancel,
	}, nil
}

// Cancel implements engine.Driver.
func (d *Driver) Cancel(ctx context.Context, requestID string) error {
	return fault.Wrap(d.call(ctx, PathCancel, CancelRequest{RequestID: requestID}, nil), "cancel run", d.baseURL)
}

// Load implements engine.Driver.
func (d *Driver) Load(ctx context.Context) (engine.Load, error) {
	var load engine.Load
	err := d.call(ctx, PathLoad, nil, &load)
	return load, fault.Wrap(err, "get load", d.baseURL)
}

// Import implements engine.Driver.
func (d *Driver) Import(ctx context.Context, salt uint64, hashes []uint64) (engine.Transfer, error) {
	transfer, err := d.postBlocks(ctx, PathImport, salt, hashes)
	return transfer, fault.Wrap(err, "import blocks", d.baseURL)
}

// Export implements engine.Driver.
func (d *Driver) Export(ctx context.Context, salt uint64, hashes []uint64) (engine.Transfer, error) {
	transfer, err := d.postBlocks(ctx, PathExport, salt, hashes)
	return transfer, fault.Wrap(err, "export blocks", d.baseURL)
}

// Stored implements engine.Driver.
func (d *Driver) Stored(ctx context.Context, salt uint64, hashes []uint64) (int, error) {
	transfer, err := d.postBlocks(ctx, PathStored, salt, hashes)
	return transfer.Blocks, fault.Wrap(err, "look up blocks", d.baseURL)
}

// Order implements engine.Driver.
func (d *Driver) Order(ctx context.Context, order engine.Order) error {
	return fault.Wrap(d.call(ctx, PathOrder, order, nil), "give order", d.baseURL)
}

// Events implements engine.Driver.
func (d *Driver) Events(ctx context.Context, after uint64) (<-chan engine.CacheEvent, error) {
	response, err := send(ctx, d.client, http.MethodGet, d.baseURL+PathEvents+"?after="+strconv.FormatUint(after, 10), nil, 0)
	if err != nil {
		return nil, fault.Wrap(err, "open events", d.baseURL)
	}
	events := make(chan engine.CacheEvent, cacheEventBuffer)
	go httpclient.Lines(ctx, response.Body, maxCacheEventBytes, parseCacheEvent, events)
	return events, nil
}

// postBlocks sends a BlocksRequest to path and returns the answer.
func (d *Driver) postBlocks(ctx context.Context, path string, salt uint64, hashes []uint64) (engine.Transfer, error) {
	var transfer engine.Transfer
	err := d.call(ctx, path, BlocksRequest{Salt: salt, Hashes: hashes}, &transfer)
	return transfer, err
}

// call sends a POST request with in as its JSON body, or a GET request when in is
// nil. It decodes the answer into out, or discards it when out is nil.
func (d *Driver) call(ctx context.Context, path string, in, out any) error {
	method := http.MethodGet
	var body []byte
	if in != nil {
		encoded, err := json.Marshal(in)
		if err != nil {
			return err
		}
		method, body = http.MethodPost, encoded
	}
	response, err := send(ctx, d.client, method, d.baseURL+path, bytes.NewReader(body), int64(len(body)))
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if out == nil {
		_, err = io.Copy(io.Discard, io.LimitReader(response.Body, maxSmallBodyBytes))
		return err
	}
	return httpclient.DecodeJSON(response.Body, maxAnswerBytes, out)
}

// send sends a request and returns the answer when its status is 200. Otherwise it
// returns ErrUnreachable if the engine cannot have received the request, also when
// ctx ended before the connection was open, ErrIncompleteAnswer if the engine may have received
// it, or the error of the engine's refusal.
func send(ctx context.Context, client *http.Client, method, url string, body io.Reader, length int64) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return nil, errors.Join(engine.ErrUnreachable, err)
	}
	request.ContentLength = length
	if length == 0 {
		request.Body = nil
	}
	response, sent, err := httpclient.Do(client, request)
	if err != nil && !sent {
		return nil, errors.Join(engine.ErrUnreachable, err)
	}
	if err != nil {
		return nil, errors.Join(engine.ErrIncompleteAnswer, err)
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer func() { _ = response.Body.Close() }()
	return nil, refusalError(response)
}

// refusalError returns the error for an answer with a status other than 200. Only the status of an
// error can state a refusal.
func refusalError(response *http.Response) error {
	if response.StatusCode < http.StatusBadRequest {
		return errors.Join(engine.ErrIncompleteAnswer, fmt.Errorf("unexpected status %q", response.Status))
	}
	var refusal Refusal
	err := json.NewDecoder(io.LimitReader(response.Body, maxSmallBodyBytes)).Decode(&refusal)
	if err != nil {
		return errors.Join(engine.ErrIncompleteAnswer, err)
	}
	switch refusal.Code {
	case CodeBusy:
		return engine.ErrBusy
	case CodeNotLoaded:
		return engine.ErrNotLoaded
	case CodeStaleFence:
		return engine.ErrStaleFence
	default:
		return errors.Join(ErrBadRequest, errors.New(refusal.Message))
	}
}
