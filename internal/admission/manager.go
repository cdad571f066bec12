package admission

import (
	"context"
	"errors"
	"time"

	"github.com/greengagegate/greengagegate/internal/metrics"
	"github.com/greengagegate/greengagegate/internal/object"
	"github.com/greengagegate/greengagegate/internal/quotalink"
	"github.com/greengagegate/greengagegate/internal/slotlink"
	"github.com/greengagegate/greengagegate/internal/wire"
	"github.com/greengagegate/greengagegate/lease"
	"github.com/greengagegate/greengagegate/membership"
	"github.com/greengagegate/greengagegate/quota"
	"github.com/greengagegate/greengagegate/store"
	"github.com/rs/zerolog"
)

// Options configures a Manager. All fields but Zone and Log are required.
type Options struct {
	Store  store.Store
	Lister store.HostLister
	Pool   *wire.Pool
	View   membership.View
	Source object.Source
	// Address is the IP address and port at which this process serves its peers.
	Address string
	// Zone is not used.
	Zone   string
	Region string
	Log    zerolog.Logger
}

// Manager is the Controller of a router. It takes part in sharing the limits with
// the other routers.
type Manager struct {
	options Options
	limits  *limits
	slots   *lease.Slots
	server  *quotalink.Server
	quota   *quota.Manager
	cancel  context.CancelFunc
}

// New returns a manager that refuses all requests until Start is called.
func New(options Options) *Manager {
	ctx, cancel := context.WithCancel(context.Background())
	m := &Manager{options: options, limits: &limits{source: options.Source}, cancel: cancel}
	m.slots = lease.NewSlots(lease.SlotsOptions{
		Store:     options.Store,
		Lister:    options.Lister,
		Address:   options.Address,
		Count:     m.limits.Slots,
		Alive:     m.isAlive,
		Witnesses: slotlink.NewClient(options.Pool, options.Source),
		Log:       options.Log,
	})
	m.quota = quota.New(quota.Options{
		Address:   options.Address,
		Region:    options.Region,
		Transport: quotalink.NewTransport(ctx, options.Pool),
		Directory: &directory{view: options.View, slots: m.slots},
		Config:    m.limits,
		Log:       options.Log,
	})
	m.server = quotalink.NewServer(m.quota.Handle)
	return m
}

// Register adds the handlers for messages from peers. It must be called before the
// server starts to serve.
func (m *Manager) Register(server *wire.Server) { m.server.Register(server) }

// Start begins to acquire slots, and to lend tokens to other routers and borrow theirs.
// It does not wait for the store or for peers. The error is always nil; the signature
// is that of a component's start function.
func (m *Manager) Start(context.Context) error {
	m.slots.Start()
	m.quota.Start()
	return nil
}

// Stop refuses further requests, returns borrowed tokens and leaves a backup of this
// router's shares with a peer. It blocks until the peers have answered or ctx is done.
// The error is always nil.
func (m *Manager) Stop(ctx context.Context) error {
	m.quota.Stop(ctx)
	m.slots.Stop()
	m.server.Close()
	m.cancel()
	return nil
}

// Admit implements Controller.
func (m *Manager) Admit(ctx context.Context, customer *object.Customer, tokens int64) (Ticket, error) {
	name := customer.Name
	ticket, err := m.quota.Admit(ctx, quota.CustomerIDOf(name), tokens)
	if err != nil {
		metrics.Counter("admission.refused", "customer", name).Inc(1)
		return nil, convertRefusal(err)
	}
	metrics.Counter("admission.admitted", "customer", name).Inc(1)
	metrics.Counter("admission.admitted_tokens", "customer", name).Inc(tokens)
	if ticket.Waited > 0 {
		metrics.Histogram("admission.wait_us", "customer", name).Update(ticket.Waited.Microseconds())
	}
	return ticket, nil
}

// convertRefusal converts an error of package quota to a Refusal. An error of another
// type becomes CodeRateLimited with a retry after one second.
func convertRefusal(err error) *Refusal {
	var refusal *quota.Refusal
	if !errors.As(err, &refusal) {
		return &Refusal{Code: CodeRateLimited, RetryAfter: time.Second, Message: err.Error()}
	}
	return &Refusal{Code: codeByReason[refusal.Reason], RetryAfter: refusal.RetryAfter, Message: refusal.Message}
}

var codeByReason = map[quota.Reason]string{
	quota.ReasonRateExceeded: CodeRateLimited,
	quota.ReasonAboveBurst:   CodeAboveBurst,
	quota.ReasonNoLimit:      CodeNoLimit,
	quota.ReasonNoPool:       CodeNoPool,
	quota.ReasonCanceled:     CodeCanceled,
	quota.ReasonStopped:      CodeStopping,
}

// isAlive reports whether membership lists a live process at the address.
func (m *Manager) isAlive(address string) bool {
	for _, member := range m.options.View.Members() {
		if member.Address == address && member.State == membership.StateAlive {
			return true
		}
	}
	return false
}
