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

// step is one admission or one settlement of a customer without a rate.
type step struct {
	admit  bool
	tokens int64
}

// oneBucket is the customer's limit as one bucket that nothing refills but
// settlements. A refusal is right at any time, an admission only with the tokens.
func oneBucket() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return int64(historyBurst) },
		Step: func(state, input, output any) (bool, any) {
			level, s, ok := state.(int64), input.(step), output.(bool)
			switch {
			case !s.admit:
				return true, min(historyBurst, level+s.tokens)
			case !ok:
				return true, level
			default:
				return level >= s.tokens, level - s.tokens
			}
		},
	}
}

// TestHistoryIsThatOfOneBucket checks that there is an order of one customer's
// admissions and settlements at all routers in which one bucket had the tokens.
func TestHistoryIsThatOfOneBucket(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			history, admitted := recordHistory(seed + 1)
			if porcupine.CheckOperations(oneBucket(), history) != true {
				t.Errorf("seed %d: no order of the history fits one bucket", seed+1)
			}
			if admitted*2 < historyBurst {
				t.Errorf("seed %d: %d tokens admitted of %d", seed+1, admitted, historyBurst)
			}
		})
	}
}

func recordHistory(seed uint64) (history []porcupine.Operation, admitted int64) {
	f := newFleet(seed, 3, 3)
	f.loss, f.dup = 0.01, 0.1
	f.config.set(harbour, quota.Limit{Rate: 1e-6, Burst: historyBurst})
	f.run()
	defer f.stopAll()
	time.Sleep(time.Second)
	var mu sync.Mutex
	record := func(client int, s step, act func() bool) {
		called := time.Now().UnixNano()
		ok := act()
		mu.Lock()
		defer mu.Unlock()
		history = append(history, porcupine.Operation{
			ClientId: client, Input: s, Call: called, Output: ok, Return: time.Now().UnixNano(),
		})
		if s.admit && ok {
			admitted += s.tokens
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
				record(client, step{true, tokens}, func() bool {
					ticket, _ = m.life().Admit(context.Background(), harbour, tokens)
					return ticket != nil
				})
				if ticket != nil {
					record(client, step{false, tokens / 2}, func() bool {
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
