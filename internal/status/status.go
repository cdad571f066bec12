// Package status queries other processes over the inner protocol for their
// status: the configuration revision in force and whether they are draining.
// Each query opens one stream per process and is made when an operator asks
// for the state of all processes.
package status

import (
	"context"
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/internal/object"
	"github.com/greengagegate/greengagegate/internal/wire"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/greengagegate/greengagegate/membership"
	"golang.org/x/sync/errgroup"
)

const (
	// queryTimeout bounds the query of one process.
	queryTimeout = time.Second
	// maxConcurrentQueries bounds the number of processes that are queried at
	// the same time.
	maxConcurrentQueries = 32
)

// ProcessStatus is the status that a process reports about itself.
type ProcessStatus struct {
	// Process is the name of the process.
	Process string
	// Revision is the revision of the configuration in force in the process, or
	// 0 if it has not received a configuration yet.
	Revision uint64
	// Draining reports whether the process is stopping and accepts no new work.
	Draining bool
}

// Querier queries the status of processes.
type Querier interface {
	// Query queries the processes at the given inner addresses and returns their
	// answers by address. Processes that do not answer in time are missing from
	// the result.
	Query(ctx context.Context, addresses []string) map[string]ProcessStatus
}

// Client implements Querier over the inner protocol. It is safe for concurrent use.
type Client struct {
	pool *wire.Pool
}

// NewClient returns a client that connects to processes through pool.
func NewClient(pool *wire.Pool) *Client { return &Client{pool: pool} }

// Query implements Querier. It queries up to 32 processes at the same time and
// blocks for at most one second per 32 addresses.
func (c *Client) Query(ctx context.Context, addresses []string) map[string]ProcessStatus {
	var mu sync.Mutex
	var queries errgroup.Group
	queries.SetLimit(maxConcurrentQueries)
	answers := make(map[string]ProcessStatus)
	for _, address := range addresses {
		queries.Go(func() error {
			answer, err := c.query(ctx, address)
			if err != nil {
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			answers[address] = answer
			return nil
		})
	}
	_ = queries.Wait()
	return answers
}

// query returns the status of one process, or an error if it does not answer
// within queryTimeout.
func (c *Client) query(ctx context.Context, address string) (ProcessStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	reply := new(wirepb.StatusReply)
	if err := c.pool.Call(ctx, address, wirepb.Kind_KIND_STATUS, "", new(wirepb.StatusRequest), reply); err != nil {
		return ProcessStatus{}, err
	}
	return ProcessStatus{Process: reply.Process, Revision: reply.ConfigRevision, Draining: reply.Draining}, nil
}

// Handler returns the handler that answers status queries of other processes.
// The configuration revision comes from source, the rest from view.
func Handler(source object.Source, view membership.View) wire.Handler {
	return func(_ context.Context, _ wire.Request, stream *wire.Stream) {
		if err := stream.Recv(new(wirepb.StatusRequest)); err != nil {
			return
		}
		self := view.Self()
		reply := &wirepb.StatusReply{
			Process:  self.Process,
			Role:     string(self.Role),
			Zone:     self.Zone,
			Draining: self.State == membership.StateLeaving,
		}
		if set := source.Current(); set != nil {
			reply.ConfigRevision = set.Revision
		}
		_ = stream.Send(reply)
	}
}
