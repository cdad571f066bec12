package quota

import (
	"fmt"
	"time"
)

// Reason says why a request was refused.
type Reason uint8

// The reasons of refusals.
const (
	// ReasonShort says that the customer has too few tokens now.
	ReasonShort Reason = iota
	// ReasonAboveBurst says that the request can never be admitted.
	ReasonAboveBurst
	// ReasonNoLimit says that the customer has no limit in the configuration.
	ReasonNoLimit
	// ReasonNoPool says that no pool could be reached.
	ReasonNoPool
	// ReasonCanceled says that the caller left while the request waited.
	ReasonCanceled
	// ReasonStopped says that the process is stopping.
	ReasonStopped
)

// Refusal is the error of a request that was not admitted.
type Refusal struct {
	Reason Reason
	// RetryAfter is when the request may be admitted; zero when never.
	RetryAfter time.Duration
	Message    string
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("quota: %s", r.Message)
}

// Ticket is the reservation of one admitted request. Settle must be called once.
type Ticket struct {
	account *account
	tokens  int64
	// period is the account's period in which the tokens were spent.
	reportPeriod uint64
	admittedAt   time.Time
	// Waited is how long the request waited for its tokens.
	Waited  time.Duration
	settled bool
}

// Settle ends the reservation with the tokens that were used. What was not used
// is returned, what was used beyond the reservation is owed. Only the first call
// has an effect.
func (t *Ticket) Settle(used int64) {
	a := t.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if t.settled {
		return
	}
	t.settled = true
	unused := float64(t.tokens - used)
	if unused < 0 {
		a.debt -= unused
		return
	}
	now := a.limiter.options.Now()
	if t.reportPeriod == a.reportPeriod && a.isGrantValid(now) {
		recovered := max(0, min(unused, a.poolBalance-a.balance))
		a.balance += recovered
		unused -= recovered
	}
	if unused == 0 {
		return
	}
	a.refund.add(unused, t.admittedAt)
}
