package httpclient

import (
	"net/http"
	"sync"
)

// HTTP/1.1 matches a response to a request by their order on the connection alone. A service that
// sends one response too many, such as a copy of an earlier one, shifts all that follow. Two kinds
// of clients bound what such a response can be taken for: those of NewSingleUse, whose
// connections carry one request each, and those of Groups.

// NewSingleUse returns a client like those of NewTransport that opens a connection for each
// request. Whatever arrives is the response to that request, and the client never sends it twice.
func NewSingleUse(options ...func(*http.Transport)) *http.Client {
	transport := NewTransport(0)
	transport.DisableKeepAlives = true
	for _, option := range options {
		option(transport)
	}
	return &http.Client{Transport: transport}
}

// Groups has a client for each group of requests, with connections of its own. A response to a
// request of one group cannot be taken for the response to a request of another; within a group
// the caller has to compare what the responses state. Groups is safe for concurrent use.
type Groups struct {
	maxIdle int
	options []func(*http.Transport)

	mu      sync.Mutex
	clients map[string]*http.Client
}

// NewGroups returns clients whose transports are those of NewTransport(maxIdle), with options
// applied.
func NewGroups(maxIdle int, options ...func(*http.Transport)) *Groups {
	return &Groups{maxIdle: maxIdle, options: options, clients: make(map[string]*http.Client)}
}

// Client returns the client of a group. There must be few groups, since they are kept.
func (g *Groups) Client(group string) *http.Client {
	g.mu.Lock()
	defer g.mu.Unlock()
	client, ok := g.clients[group]
	if !ok {
		transport := NewTransport(g.maxIdle)
		for _, option := range g.options {
			option(transport)
		}
		client = &http.Client{Transport: transport}
		g.clients[group] = client
	}
	return client
}

// CloseIdleConnections closes the idle connections of all groups.
func (g *Groups) CloseIdleConnections() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, client := range g.clients {
		client.CloseIdleConnections()
	}
}
