package quota_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/greengagegate/greengagegate/quota"
)

const historyBurst = 12_000

// operation is one admission or one settlement of a customer. The customer's
// rate is practically zero.
type operation struct {
	admit  bool
	tokens int64
}

// singleBucketModel returns a model of the customer's limit as one bucket that
// only settlements refill. A refusal is valid at any time, an admission only if
// the bucket has the tokens.
func singleBucketModel() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return int64(historyBurst) },
		Step: func(state, input, output any) (bool, any) {
			level, op, ok := state.(int64), input.(operation), output.(bool)
			switch {
			case !op.admit:
				return true, min(historyBurst, level+op.tokens)
			case !ok:
				return true, level
			default:
				return level >= op.tokens, level - op.tokens
			}
		},
	}
}

// TestHistoryMatchesSingleBucket guards against spending the same tokens twice.
// It checks that concurrent admissions and settlements at all routers can be
// ordered such that one bucket always had the tokens, as in a linearizability
// check.
func TestHistoryMatchesSingleBucket(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			history, admittedTokens := recordHistory(seed + 1)
			if porcupine.CheckOperations(singleBucketModel(), history) != true {
				t.Errorf("seed %d: no order of the history is valid for a single bucket", seed+1)
			}
			if admittedTokens*2 < historyBurst {
				t.Errorf("seed %d: admitted %d tokens of %d, want at least half", seed+1, admittedTokens, historyBurst)
			}
		})
	}
}

// recordHistory runs four clients against a fleet with lost and duplicate
// messages, and returns their operations and the number of admitted tokens.
func recordHistory(seed uint64) (history []porcupine.Operation, admitted int64) {
	f := newFleet(seed, 3, 3)
	f.lossRate, f.duplicationRate = 0.01, 0.1
	f.config.set(testCustomer, quota.Limit{Rate: 1e-6, Burst: historyBurst})
	f.startAll()
	defer f.stopAll()
	time.Sleep(time.Second)
	var mu sync.Mutex
	record := func(client int, op operation, run func() bool) {
		calledAt := time.Now().UnixNano()
		ok := run()
		mu.Lock()
		defer mu.Unlock()
		history = append(history, porcupine.Operation{
			ClientId: client, Input: op, Call: calledAt, Output: ok, Return: time.Now().UnixNano(),
		})
		if op.admit && ok {
			admitted += op.tokens
		}
	}
	var clients sync.WaitGroup
	for client := range 4 {
		random := rand.New(rand.NewPCG(seed, uint64(client)))
		clients.Go(func() {
			for range 12 {
				time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
				m, tokens := f.at(random.IntN(3)), 200+random.Int64N(1500)
				var ticket *quota.Ticket
				record(client, operation{true, tokens}, func() bool {
					ticket, _ = m.currentManager().Admit(context.Background(), testCustomer, tokens)
					return ticket != nil
				})
				if ticket != nil {
					record(client, operation{false, tokens / 2}, func() bool {
						ticket.Settle(tokens - tokens/2)
						return true
					})
				}
			}
		})
	}
	clients.Wait()
	return history, admitted
}
