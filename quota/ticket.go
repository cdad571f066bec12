package quota

import (
	"fmt"
	"time"
)

// Reason is why a request was refused.
type Reason uint8

// Reasons of refusals.
const (
	// ReasonRateExceeded means that the customer has too few tokens now.
	ReasonRateExceeded Reason = iota
	// ReasonAboveBurst means that the request can never be admitted, because it
	// costs more than MaxLentFraction of the customer's burst.
	ReasonAboveBurst
	// ReasonNoLimit means that the configuration has no limit for the customer.
	ReasonNoLimit
	// ReasonNoPool means that no pool could be reached.
	ReasonNoPool
	// ReasonCanceled means that the caller canceled the request while it waited.
	ReasonCanceled
	// ReasonStopped means that the process is stopping or has not started.
	ReasonStopped
)

// Refusal is the error of a request that was not admitted.
type Refusal struct {
	Reason Reason
	// RetryAfter is the time after which the request may be admitted. It is
	// zero if it never will be.
	RetryAfter time.Duration
	Message    string
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("quota: %s", r.Message)
}

// Ticket holds the tokens of one admitted request. Settle must be called once.
type Ticket struct {
	account *account
	tokens  int64
	// reportPeriod is the account's report period in which the tokens were
	// spent.
	reportPeriod uint64
	admittedAt   time.Time
	// Waited is how long the request waited for its tokens.
	Waited  time.Duration
	settled bool
}

// Settle reports how many tokens the request used. Unused tokens are put back
// into the router's balance if possible and otherwise refunded to the share. A
// refund that has not been sent is lost if the router drops the account (see
// accountTTL) or changes its pool. Tokens used beyond those of the ticket are
// charged to the customer's next request on this router. Only the first call
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
