package httpengine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/greengagegate/greengagegate/internal/engine"
	"github.com/greengagegate/greengagegate/internal/fault"
	"github.com/greengagegate/greengagegate/internal/httpclient"
)

const (
	maxIdleConns     = 8
	maxRefusalBytes  = 4 << 10
	maxEventBytes    = 1 << 20
	cacheEventBuffer = 256
)

// Driver is an engine.Driver for the engine at one base URL. Each run has a
// connection of its own, so that no late answer can be taken for another's;
// short calls share connections.
type Driver struct {
	base  string
	runs  *http.Client
	calls *http.Client
}

var _ engine.Driver = (*Driver)(nil)

// New returns a driver for the engine at base, such as "http://127.0.0.1:8000".
func New(base string) *Driver {
	runs := httpclient.NewTransport(0)
	runs.DisableCompression = true
	runs.DisableKeepAlives = true
	calls := httpclient.NewTransport(maxIdleConns)
	calls.DisableCompression = true
	return &Driver{base: base, runs: &http.Client{Transport: runs}, calls: &http.Client{Transport: calls}}
}

// Close closes the connections that are not in use.
func (d *Driver) Close() { d.calls.CloseIdleConnections() }

// Run implements engine.Driver. It returns when the engine has accepted or refused the request.
func (d *Driver) Run(ctx context.Context, request engine.RunRequest) (engine.Run, error) {
	head, err := encodeHead(request)
	if err != nil {
		return nil, fault.Wrap(errors.Join(engine.ErrUnreachable, err), "encode run", d.base)
	}
	body := io.MultiReader(bytes.NewReader(head), bytes.NewReader(request.Prompt), bytes.NewReader(request.Generated))
	length := int64(len(head) + len(request.Prompt) + len(request.Generated))
	ctx, cancel := context.WithCancel(ctx)
	response, err := send(ctx, d.runs, http.MethodPost, d.base+PathRun, body, length)
	if err != nil {
		cancel()
		return nil, fault.Wrap(err, "start run", d.base)
	}
	return &run{
		peer:      d.base,
		requestID: request.RequestID,
		body:      response.Body,
		reader:    bufio.NewReader(response.Body),
		cancel:    cancel,
	}, nil
}

// Cancel implements engine.Driver.
func (d *Driver) Cancel(ctx context.Context, requestID string) error {
	return fault.Wrap(d.exchange(ctx, PathCancel, CancelRequest{RequestID: requestID}, nil), "cancel run", d.base)
}

// Load implements engine.Driver.
func (d *Driver) Load(ctx context.Context) (engine.Load, error) {
	var load engine.Load
	err := d.exchange(ctx, PathLoad, nil, &load)
	return load, fault.Wrap(err, "get load", d.base)
}

// Import implements engine.Driver.
func (d *Driver) Import(ctx context.Context, salt uint64, hashes []uint64) (engine.Transfer, error) {
	transfer, err := d.blocks(ctx, PathImport, salt, hashes)
	return transfer, fault.Wrap(err, "import blocks", d.base)
}

// Export implements engine.Driver.
func (d *Driver) Export(ctx context.Context, salt uint64, hashes []uint64) (engine.Transfer, error) {
	transfer, err := d.blocks(ctx, PathExport, salt, hashes)
	return transfer, fault.Wrap(err, "export blocks", d.base)
}

// Stored implements engine.Driver.
func (d *Driver) Stored(ctx context.Context, salt uint64, hashes []uint64) (int, error) {
	transfer, err := d.blocks(ctx, PathStored, salt, hashes)
	return transfer.Blocks, fault.Wrap(err, "look up blocks", d.base)
}

// Order implements engine.Driver.
func (d *Driver) Order(ctx context.Context, order engine.Order) error {
	return fault.Wrap(d.exchange(ctx, PathOrder, order, nil), "give order", d.base)
}

// Events implements engine.Driver.
func (d *Driver) Events(ctx context.Context, after uint64) (<-chan engine.CacheEvent, error) {
	response, err := send(ctx, d.calls, http.MethodGet, d.base+PathEvents+"?after="+strconv.FormatUint(after, 10), nil, 0)
	if err != nil {
		return nil, fault.Wrap(err, "open events", d.base)
	}
	events := make(chan engine.CacheEvent, cacheEventBuffer)
	go httpclient.Lines(ctx, response.Body, maxEventBytes, parseCacheEvent, events)
	return events, nil
}

func (d *Driver) blocks(ctx context.Context, path string, salt uint64, hashes []uint64) (engine.Transfer, error) {
	var transfer engine.Transfer
	err := d.exchange(ctx, path, BlocksRequest{Salt: salt, Hashes: hashes}, &transfer)
	return transfer, err
}

// exchange posts a JSON body, or gets when there is none, and decodes the answer.
func (d *Driver) exchange(ctx context.Context, path string, in, out any) error {
	method := http.MethodGet
	var body []byte
	if in != nil {
		encoded, err := json.Marshal(in)
		if err != nil {
			return err
		}
		method, body = http.MethodPost, encoded
	}
	response, err := send(ctx, d.calls, method, d.base+path, bytes.NewReader(body), int64(len(body)))
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if out == nil {
		_, err = io.Copy(io.Discard, io.LimitReader(response.Body, maxRefusalBytes))
		return err
	}
	return json.NewDecoder(response.Body).Decode(out)
}

// send returns the answer when its status is 200. Any other outcome is an error
// that says whether the engine may have seen the request.
func send(ctx context.Context, client *http.Client, method, target string, body io.Reader, length int64) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, target, body)
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
		return nil, errors.Join(engine.ErrLost, err)
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer func() { _ = response.Body.Close() }()
	return nil, refusalError(response)
}

func refusalError(response *http.Response) error {
	var refusal Refusal
	err := json.NewDecoder(io.LimitReader(response.Body, maxRefusalBytes)).Decode(&refusal)
	if err != nil {
		return errors.Join(engine.ErrLost, err)
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
