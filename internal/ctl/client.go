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
	clientTimeout  = 30 * time.Second
	maxAnswerBytes = 64 << 20
	apiPath        = "/operator/v1"
)

// errNoAnswer reports that the request was sent and no answer came.
var errNoAnswer = errors.New("no answer")

// httpClient returns a client with the certificates of the command line.
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

// call sends a request and decodes the answer, whatever its status code, since
// refusals have the same form. errNoAnswer says that the request may have been handled.
func (c *command) call(method, path string, request, answer any) error {
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
		return fault.Wrap(fmt.Errorf("%w: %w", errNoAnswer, err), strings.ToLower(method)+" "+path, c.server)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return fault.Wrap(fmt.Errorf("%w: %w", errNoAnswer, err), "read answer", c.server)
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return fault.New(fmt.Sprintf("status %d: %.200s", response.StatusCode, data), "read answer", c.server)
	}
	return nil
}

// get asks for an answer of type T and turns a refusal into an error.
func get[T any](c *command, path string) (T, error) {
	var answer struct {
		publish.Result
		Value json.RawMessage `json:"-"`
	}
	var raw json.RawMessage
	var value T
	if err := c.call(http.MethodGet, path, nil, &raw); err != nil {
		return value, err
	}
	if err := json.Unmarshal(raw, &answer); err == nil && answer.Outcome != "" {
		return value, fault.New(answer.Reason, "get "+path, c.server)
	}
	return value, json.Unmarshal(raw, &value)
}
