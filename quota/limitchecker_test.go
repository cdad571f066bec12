package quota_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/quota"
)

// bucket is an exact token bucket.
type bucket struct {
	limit quota.Limit
	level float64
	at    time.Time
}

func newBucket(limit quota.Limit) *bucket {
	return &bucket{limit: limit, level: limit.Burst, at: time.Now()}
}

func (b *bucket) advance(now time.Time) {
	b.level = min(b.limit.Burst, b.level+now.Sub(b.at).Seconds()*b.limit.Rate)
	b.at = now
}

func (b *bucket) admit(now time.Time, tokens float64) bool {
	b.advance(now)
	if b.level < tokens {
		return false
	}
	b.level -= tokens
	return true
}

// limitChecker follows one customer's requests. admitted is the bucket of the
// tokens that were admitted: its level stays at or above zero if and only if
// every window w admits at most rate*w + burst. offered is the bucket to which
// all requests are offered. A refusal is wrongful if offered admitted the
// request.
type limitChecker struct {
	mu            sync.Mutex
	t             testing.TB
	limitChanging bool
	admitted      *bucket
	offered       *bucket
	// lowestLevel is the lowest level that the admitted bucket had.
	lowestLevel                                     float64
	reasons                                         [8]int
	requests, refused, wrongful, wrongfulByAdmitted int
	totalWait                                       time.Duration
}

func newLimitChecker(t testing.TB, limit quota.Limit) *limitChecker {
	return &limitChecker{t: t, admitted: newBucket(limit), offered: newBucket(limit), lowestLevel: limit.Burst}
}

// admit sends one request through a member and records the outcome.
func (checker *limitChecker) admit(m *member, id quota.CustomerID, tokens int64) *quota.Ticket {
	checker.mu.Lock()
	checker.requests++
	admissible := checker.offered.admit(time.Now(), float64(tokens))
	checker.mu.Unlock()
	ticket, err := m.currentManager().Admit(context.Background(), id, tokens)
	checker.mu.Lock()
	defer checker.mu.Unlock()
	now := time.Now()
	checker.admitted.advance(now)
	if err != nil {
		var refusal *quota.Refusal
		errors.As(err, &refusal)
		if refusal.Reason == quota.ReasonStopped {
			// The balancer would not have chosen a router that is stopping.
			checker.requests--
			return nil
		}
		checker.refused++
		checker.reasons[refusal.Reason]++
		if admissible {
			checker.wrongful++
		}
		if checker.admitted.level >= float64(tokens) {
			checker.wrongfulByAdmitted++
		}
		return nil
	}
	checker.admitted.level -= float64(tokens)
	checker.lowestLevel = min(checker.lowestLevel, checker.admitted.level)
	checker.totalWait += ticket.Waited
	return ticket
}

// check records the outcome of one request that admit decides.
func (checker *limitChecker) check(tokens int64, admit func() bool) {
	checker.mu.Lock()
	checker.requests++
	admissible := checker.offered.admit(time.Now(), float64(tokens))
	checker.mu.Unlock()
	ok := admit()
	checker.mu.Lock()
	defer checker.mu.Unlock()
	checker.admitted.advance(time.Now())
	if ok {
		checker.admitted.level -= float64(tokens)
		checker.lowestLevel = min(checker.lowestLevel, checker.admitted.level)
		return
	}
	checker.refused++
	if admissible {
		checker.wrongful++
	}
}

// beginLimitChange starts a change of the limit by a factor and returns the new
// limit, or nil while another change is in progress. Until endLimitChange the
// checker allows the larger of both limits.
func (checker *limitChecker) beginLimitChange(factor float64) *quota.Limit {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	if checker.limitChanging {
		return nil
	}
	checker.limitChanging = true
	old := checker.admitted.limit
	changed := quota.Limit{Rate: old.Rate * factor, Burst: old.Burst * factor}
	checker.admitted.advance(time.Now())
	checker.admitted.limit = quota.Limit{Rate: max(old.Rate, changed.Rate), Burst: max(old.Burst, changed.Burst)}
	checker.admitted.level += checker.admitted.limit.Burst - old.Burst
	return &changed
}

// endLimitChange makes the new limit the only one allowed.
func (checker *limitChecker) endLimitChange(limit quota.Limit) {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	checker.limitChanging = false
	checker.admitted.advance(time.Now())
	checker.admitted.limit = limit
}

// correctUse corrects the recorded cost of a request to what was used.
func (checker *limitChecker) correctUse(reserved, used int64) {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	checker.admitted.level += float64(reserved - used)
}

// verify fails the test if any window admitted more than the limit.
func (checker *limitChecker) verify() {
	checker.t.Helper()
	checker.mu.Lock()
	defer checker.mu.Unlock()
	if checker.lowestLevel < -1 {
		checker.t.Errorf("%.0f tokens admitted above the limit with rate %.0f and burst %.0f", -checker.lowestLevel, checker.admitted.limit.Rate, checker.admitted.limit.Burst)
	}
}
