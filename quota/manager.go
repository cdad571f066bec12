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
	// recoverInterval is the interval at which a restarted holder asks for its
	// backup.
	recoverInterval = 50 * time.Millisecond
	// grantCallTimeout bounds a request to a pool, and loanCallTimeout each of
	// the pool's requests to lenders in the meantime. Two rounds of borrowing
	// fit even if a lender times out in both; a third one (maxBorrowRounds) may
	// end too late.
	grantCallTimeout = 600 * time.Millisecond
	loanCallTimeout  = 250 * time.Millisecond
)

// Options configures a Manager. Transport, Directory and Config are required.
type Options struct {
	// Address is the address at which peers reach this process.
	Address string
	// Region is the region whose routers ask this process's pools.
	Region    string
	Transport Transport
	Directory Directory
	Config    Config
	Log       zerolog.Logger
	// Now reads the process's monotonic clock. If nil, time.Now is used.
	Now func() time.Time

	// LoanTerm, GrantTerm, MaxWait and SlotGrowthDelay replace the defaults of the
	// same names if they are positive. GrantTerm is limited to half of
	// LoanTerm.
	LoanTerm        time.Duration
	GrantTerm       time.Duration
	MaxWait         time.Duration
	SlotGrowthDelay time.Duration
}

// setDefaults sets the fields that were left zero and limits GrantTerm.
func (o *Options) setDefaults() {
	if o.Now == nil {
		o.Now = time.Now
	}
	setDefault(&o.LoanTerm, DefaultLoanTerm)
	setDefault(&o.GrantTerm, DefaultGrantTerm)
	setDefault(&o.MaxWait, DefaultMaxWait)
	setDefault(&o.SlotGrowthDelay, DefaultSlotGrowthDelay)
	o.GrantTerm = min(o.GrantTerm, o.LoanTerm/2)
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// Manager enforces the limits in one process. It holds shares and lends from
// them, runs the pools that routers of its region choose, and admits requests
// as a router. It is safe for concurrent use.
type Manager struct {
	options Options
	// borrowerID identifies this incarnation of the process to its peers.
	borrowerID    uint64
	lender        *lender
	pool          *pool
	limiter       *limiter
	backups       *backupStore
	clockReadings *clockReadings
	// updatingReserves holds one element while a reserve update is in flight.
	updatingReserves chan struct{}

	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// New returns a manager. It admits no request before Start.
func New(options Options) *Manager {
	options.setDefaults()
	m := &Manager{options: options, borrowerID: rand.Uint64() | 1}
	clock := &instantClock{incarnation: rand.Uint32() | 1, start: options.Now(), now: options.Now}
	m.lender = newLender(&m.options, clock)
	m.pool = newPool(&m.options, clock, m.call)
	m.limiter = newLimiter(&m.options, m.call)
	m.backups = newBackupStore(&m.options, clock)
	m.clockReadings = newClockReadings(&m.options)
	m.updatingReserves = make(chan struct{}, 1)
	return m
}

// BorrowerID returns the id that this incarnation of the process puts into its
// requests. A transport may replace it on the receiving side.
func (m *Manager) BorrowerID() uint64 { return m.borrowerID }

// Start starts the periodic tasks. It does not block. Stop ends them.
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

// runEvery runs a task at once and then at each interval until ctx ends.
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

// Stop admits no further requests, returns grants and loans, and stores a
// backup of the shares with a peer. It blocks until the peers have replied. If
// ctx ends first, it still waits for requests in flight, which time out. It
// must be called after Start.
func (m *Manager) Stop(ctx context.Context) {
	m.limiter.stop(ctx)
	m.pool.stop(ctx)
	m.cancel()
	m.tasks.Wait()
	m.backUpShares(ctx)
}

// Admit takes tokens of a customer for a request. It blocks while the request
// waits for tokens: for about Options.MaxWait while pools reply, and for about
// maxPoolWait while none does. Its error is always a *Refusal.
func (m *Manager) Admit(ctx context.Context, customer CustomerID, tokens int64) (*Ticket, error) {
	return m.limiter.admit(ctx, customer, tokens)
}

// Handle processes a request from a peer. It blocks while a pool borrows
// missing tokens.
func (m *Manager) Handle(ctx context.Context, request *Request) *Reply {
	reply := m.handle(ctx, request)
	if request.Kind == KindGrant || request.Kind == KindLoan {
		m.clockReadings.omitRecent(request.Borrower, reply)
	}
	return reply
}

// handle processes a request according to its kind. A request with an unknown
// kind gets an empty reply.
func (m *Manager) handle(ctx context.Context, request *Request) *Reply {
	switch request.Kind {
	case KindLoan:
		m.releaseReserved(ctx, request)
		return m.lender.handle(request)
	case KindGrant:
		return m.pool.handle(ctx, request)
	case KindBackup:
		return m.backups.store(request)
	case KindRestore:
		return m.backups.take(request)
	case KindReserve:
		return m.backups.updateReserve(request.ShareBackup)
	default:
		return new(Reply)
	}
}

// call sends a request to a peer, or processes it directly if the peer is this
// process. The call times out after grantCallTimeout for grants and
// loanCallTimeout for all other requests.
func (m *Manager) call(ctx context.Context, address string, request *Request) (*Reply, error) {
	request.Borrower = m.borrowerID
	if address == m.options.Address {
		return m.handle(ctx, request), nil
	}
	timeout := loanCallTimeout
	if request.Kind == KindGrant {
		timeout = grantCallTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := m.options.Transport.Call(ctx, address, request)
	if err != nil {
		return nil, err
	}
	if request.Kind == KindGrant || request.Kind == KindLoan {
		m.clockReadings.fillIn(address, reply)
	}
	return reply, nil
}
