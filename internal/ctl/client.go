package ctl

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/greengagegate/greengagegate/internal/fault"
	"github.com/greengagegate/greengagegate/internal/publish"
)

const (
	clientTimeout    = 30 * time.Second
	maxResponseBytes = 64 << 20 // the rest of a longer body is not read
	apiPath          = "/operator/v1"
)

// errNoResponse reports that no complete response was received. Unless
// isDialError is true for the error, the server may have handled the request.
var errNoResponse = errors.New("no answer")

// httpClient returns a client that uses the certificates given by the flags.
func (c *command) httpClient() (*http.Client, error) {
	config := &tls.Config{MinVersion: tls.VersionTLS13}
	if c.caFile != "" {
		pem, err := os.ReadFile(c.caFile)
		if err != nil {
			return nil, err
		}
		config.RootCAs = x509.NewCertPool()
		if !config.RootCAs.AppendCertsFromPEM(pem) {
			return nil, fmt.Errorf("%s: no certificate", c.caFile)
		}
	}
	if c.certFile != "" {
		pair, err := tls.LoadX509KeyPair(c.certFile, c.keyFile)
		if err != nil {
			return nil, err
		}
		config.Certificates = []tls.Certificate{pair}
	}
	return &http.Client{Timeout: clientTimeout, Transport: &http.Transport{TLSClientConfig: config}}, nil
}

// call sends a request with the JSON of request, or without a body if request is
// nil, and decodes the response into result. It does so for every status code,
// since refusals are encoded in the same way. An error that wraps errNoResponse
// means that no complete response was received.
func (c *command) call(method, path string, request, result any) error {
	client, err := c.httpClient()
	if err != nil {
		return err
	}
	var body io.Reader
	if request != nil {
		data, err := json.Marshal(request)
		if err != nil {
			return err
		}
		body = bytes.NewReader(data)
	}
	r, err := http.NewRequest(method, strings.TrimSuffix(c.server, "/")+apiPath+path, body)
	if err != nil {
		return err
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := client.Do(r)
	if err != nil {
		return fault.Wrap(fmt.Errorf("%w: %w", errNoResponse, err), strings.ToLower(method)+" "+path, c.server)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return fault.Wrap(fmt.Errorf("%w: %w", errNoResponse, err), "read answer", c.server)
	}
	if err := json.Unmarshal(data, result); err != nil {
		return fault.New(fmt.Sprintf("status %d: %.200s", response.StatusCode, data), "read answer", c.server)
	}
	return nil
}

// fetch gets the resource at path and decodes it as a T. A refusal by the server is
// returned as an error with its reason.
func fetch[T any](c *command, path string) (T, error) {
	var refusal struct {
		publish.Result
		Value json.RawMessage `json:"-"`
	}
	var raw json.RawMessage
	var value T
	if err := c.call(http.MethodGet, path, nil, &raw); err != nil {
		return value, err
	}
	if err := json.Unmarshal(raw, &refusal); err == nil && refusal.Outcome != "" {
		return value, fault.New(refusal.Reason, "get "+path, c.server)
	}
	return value, json.Unmarshal(raw, &value)
}
