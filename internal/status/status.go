// Package status asks the fleet's processes for their own view of themselves.
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
	// askTimeout bounds the wait for one process.
	askTimeout = time.Second
	// maxConcurrent bounds the processes that are asked at once.
	maxConcurrent = 32
)

// Answer is what a process says of itself.
type Answer struct {
	Process string
	// Revision is the configuration in force there, 0 before the first one.
	Revision uint64
	// Draining says that it is stopping and takes no new work.
	Draining bool
}

// Asker asks processes by their inner addresses. Those that do not answer in
// time are left out of the result.
type Asker interface {
	Ask(ctx context.Context, addresses []string) map[string]Answer
}

// Client is the Asker over the inner protocol.
type Client struct {
	pool *wire.Pool
}

// NewClient returns a client that reaches processes through pool.
func NewClient(pool *wire.Pool) *Client { return &Client{pool: pool} }

// Ask implements Asker. It blocks for at most a second per 32 addresses.
func (c *Client) Ask(ctx context.Context, addresses []string) map[string]Answer {
	var mu sync.Mutex
	var tasks errgroup.Group
	tasks.SetLimit(maxConcurrent)
	answers := make(map[string]Answer)
	for _, address := range addresses {
		tasks.Go(func() error {
			answer, err := c.ask(ctx, address)
			if err != nil {
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			answers[address] = answer
			return nil
		})
	}
	_ = tasks.Wait()
	return answers
}

func (c *Client) ask(ctx context.Context, address string) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	reply := new(wirepb.StatusReply)
	if err := c.pool.Ask(ctx, address, wirepb.Kind_KIND_STATUS, "", new(wirepb.StatusRequest), reply); err != nil {
		return Answer{}, err
	}
	return Answer{Process: reply.Process, Revision: reply.ConfigRevision, Draining: reply.Draining}, nil
}

// Handler returns the handler with which a process answers.
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
