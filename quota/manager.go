package quota

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	syncInterval  = 250 * time.Millisecond
	flushInterval = 100 * time.Millisecond
	// recoverInterval spaces the claims of a restarted holder.
	recoverInterval = 50 * time.Millisecond
	// grantCallTimeout bounds an ask to a pool. It is longer than loanCallTimeout,
	// which bounds the pool's own asks meanwhile.
	grantCallTimeout = 600 * time.Millisecond
	loanCallTimeout  = 250 * time.Millisecond
)

// Options configures a Manager. Transport, Directory and Config are required.
type Options struct {
	// Address is this process's inner address.
	Address string
	// Region is the region whose routers ask this process's pools.
	Region    string
	Transport Transport
	Directory Directory
	Config    Config
	Log       zerolog.Logger
	// Now reads the process's monotonic clock; time.Now when nil.
	Now func() time.Time

	LoanTerm    time.Duration
	GrantTerm   time.Duration
	MaxWait     time.Duration
	LayoutDelay time.Duration
}

func (o *Options) setDefaults() {
	if o.Now == nil {
		o.Now = time.Now
	}
	setDefault(&o.LoanTerm, DefaultLoanTerm)
	setDefault(&o.GrantTerm, DefaultGrantTerm)
	setDefault(&o.MaxWait, DefaultMaxWait)
	setDefault(&o.LayoutDelay, DefaultLayoutDelay)
	o.GrantTerm = min(o.GrantTerm, o.LoanTerm/2)
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// Manager takes part in the limits as holder of shares, as pool and as router.
// It is safe for concurrent use.
type Manager struct {
	options Options
	// borrower identifies this life of the process.
	borrower      uint64
	lender        *lender
	pool          *pool
	limiter       *limiter
	backups       *backupStore
	clockReadings *clockReadings
	// noting holds one element while a note is under way.
	updatingReserves chan struct{}

	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// New returns a manager. It admits nothing before Start.
func New(options Options) *Manager {
	options.setDefaults()
	m := &Manager{options: options, borrower: rand.Uint64() | 1}
	clock := &instantClock{incarnation: rand.Uint32() | 1, start: options.Now(), now: options.Now}
	m.lender = newLender(&m.options, clock)
	m.pool = newPool(&m.options, clock, m.call)
	m.limiter = newLimiter(&m.options, m.call)
	m.backups = newBackupStore(&m.options, clock)
	m.clockReadings = newClockReadings(&m.options)
	m.updatingReserves = make(chan struct{}, 1)
	return m
}

// Borrower identifies this life of the process to its peers.
func (m *Manager) Borrower() uint64 { return m.borrower }

// Start begins the periodic work. It does not block.
func (m *Manager) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.limiter.start(ctx)
	m.tasks.Go(func() { m.runEvery(ctx, syncInterval, func(context.Context) { m.lender.sync() }) })
	m.tasks.Go(func() { m.runEvery(ctx, recoverInterval, m.recoverShares) })
	m.tasks.Go(func() { m.runEvery(ctx, reserveUpdateInterval, m.updateReserves) })
	m.tasks.Go(func() { m.runEvery(ctx, flushInterval, m.pool.flush) })
	m.tasks.Go(func() { m.runEvery(ctx, flushInterval, m.limiter.flush) })
}

func (m *Manager) runEvery(ctx context.Context, interval time.Duration, task func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		task(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Stop admits nothing more, returns grants and loans, and deposits the shares
// with a peer. It blocks until the peers have answered or ctx ends.
func (m *Manager) Stop(ctx context.Context) {
	m.limiter.stop(ctx)
	m.pool.stop(ctx)
	m.cancel()
	m.tasks.Wait()
	m.backUpShares(ctx)
}

// Admit reserves tokens of a customer. It blocks for a bounded time; its error
// is a *Refusal.
func (m *Manager) Admit(ctx context.Context, customer CustomerID, tokens int64) (*Ticket, error) {
	return m.limiter.admit(ctx, customer, tokens)
}

// Handle answers a peer's request. It blocks while a pool borrows what it lacks.
func (m *Manager) Handle(ctx context.Context, request *Request) *Reply {
	reply := m.handle(ctx, request)
	if request.Tier == TierGrant || request.Tier == TierLoan {
		m.clockReadings.omitRecent(request.Borrower, reply)
	}
	return reply
}

func (m *Manager) handle(ctx context.Context, request *Request) *Reply {
	switch request.Tier {
	case TierLoan:
		m.releaseReserved(ctx, request)
		return m.lender.handle(request)
	case TierGrant:
		return m.pool.handle(ctx, request)
	case TierBackup:
		return m.backups.store(request)
	case TierRestore:
		return m.backups.take(request)
	case TierReserve:
		return m.backups.updateReserve(request.ShareBackup)
	default:
		return new(Reply)
	}
}

// call sends a request to a peer, or handles it here when the peer is this process.
func (m *Manager) call(ctx context.Context, address string, request *Request) (*Reply, error) {
	request.Borrower = m.borrower
	if address == m.options.Address {
		return m.handle(ctx, request), nil
	}
	timeout := loanCallTimeout
	if request.Tier == TierGrant {
		timeout = grantCallTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := m.options.Transport.Call(ctx, address, request)
	if err != nil {
		return nil, err
	}
	if request.Tier == TierGrant || request.Tier == TierLoan {
		m.clockReadings.fillIn(address, reply)
	}
	return reply, nil
}
