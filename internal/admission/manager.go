package admission

import (
	"context"
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/internal/object"
	"github.com/greengagegate/greengagegate/internal/wire"
	"github.com/greengagegate/greengagegate/membership"
	"github.com/greengagegate/greengagegate/store"
	"github.com/rs/zerolog"
)

// Options configures a Manager. All fields are required but Log.
type Options struct {
	Store  store.Store
	Lister store.HostLister
	Pool   *wire.Pool
	View   membership.View
	Source object.Source
	// Address is the process's inner address, an IP number and port.
	Address string
	Zone    string
	Region  string
	Log     zerolog.Logger
}

// Manager is the Controller of a router.
type Manager struct {
	options Options

	mu     sync.Mutex
	levels map[string]*localBucket
}

// localBucket is this router's fixed part of a customer's limit.
type localBucket struct {
	tokens float64
	at     time.Time
}

// New returns a manager that admits nothing until Start.
func New(options Options) *Manager {
	return &Manager{options: options, levels: make(map[string]*localBucket)}
}

// Register adds the handlers of the inner protocol. It is called before the server serves.
func (m *Manager) Register(*wire.Server) {}

// Start begins to take part in lending. It does not wait for the store or for peers.
func (m *Manager) Start(context.Context) error { return nil }

// Stop returns what was lent and admits nothing more. It blocks until the peers
// have answered or ctx ends.
func (m *Manager) Stop(context.Context) error { return nil }

// Admit implements Controller with a fixed part of the limit for each entry slot.
func (m *Manager) Admit(_ context.Context, customer *object.Customer, tokens int64) (Ticket, error) {
	if float64(tokens) > customer.Burst {
		return nil, &Refusal{Code: CodeAboveBurst, Message: "the request costs more than the customer's burst"}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	bucket, part := m.refill(customer)
	if bucket.tokens < float64(tokens) {
		missing := (float64(tokens) - bucket.tokens) / (customer.Rate * part)
		return nil, &Refusal{
			Code:       CodeRateLimited,
			RetryAfter: time.Duration(missing * float64(time.Second)),
			Message:    "the customer's rate is used up",
		}
	}
	bucket.tokens -= float64(tokens)
	return fixedTicket{}, nil
}

func (m *Manager) refill(customer *object.Customer) (*localBucket, float64) {
	part := 1.0
	if set := m.options.Source.Current(); set != nil && set.Fleet.EntrySlots > 0 {
		part = 1 / float64(set.Fleet.EntrySlots)
	}
	now := time.Now()
	bucket := m.levels[customer.Name]
	if bucket == nil {
		bucket = &localBucket{at: now}
		m.levels[customer.Name] = bucket
	}
	bucket.tokens += now.Sub(bucket.at).Seconds() * customer.Rate * part
	bucket.tokens = min(bucket.tokens, customer.Burst*part)
	bucket.at = now
	return bucket, part
}

type fixedTicket struct{}

// Settle implements Ticket. A fixed part takes nothing back.
func (fixedTicket) Settle(int64) {}
