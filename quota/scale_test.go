package quota_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/greengagegate/greengagegate/internal/slope"
	"github.com/greengagegate/greengagegate/quota"
)

var (
	scaleFlag  = flag.Bool("scale", false, "measure messages at 350 members too")
	slopesFlag = flag.Bool("slopes", false, "print slopes for the capacity page as JSON lines")
)

const (
	requestsPerNode = 7
	scaleWarmUp     = 5 * time.Second
	scaleDuration   = 20 * time.Second
	maxBytesPerNode = 1000
)

// cost is what lending cost in one run.
type lendingCost struct {
	members, customers         int
	bytesPerNode, callsPerNode float64
	bytesPerRequest            float64
	callsPerRequest            float64
	busiestBytes               float64
	requests, refused          int
	cpuMicrosPerNodeSecond     float64
	heapBytes                  float64
}

// TestScale measures the messages of lending with 7 requests a second at each
// member, customers by Zipf's law, each at 77% of its rate.
func TestScale(t *testing.T) {
	sizes := [][2]int{{3, 5}, {3, 500}}
	if !testing.Short() {
		sizes = append(sizes, [2]int{30, 500})
	}
	if *scaleFlag {
		sizes = append(sizes, [2]int{3, 4900}, [2]int{30, 4900}, [2]int{350, 500}, [2]int{350, 4900})
	}
	t.Logf("| members | customers | B/s a node | busiest node B/s | calls a request | bytes a request | requests | refused |")
	for _, size := range sizes {
		synctest.Test(t, func(t *testing.T) {
			c := measureCost(t, size[0], size[1])
			t.Logf("| %d | %d | %.0f | %.0f | %.2f | %.0f | %d | %d |",
				c.members, c.customers, c.bytesPerNode, c.busiestBytes, c.callsPerRequest, c.bytesPerRequest, c.requests, c.refused)
			if c.bytesPerNode > maxBytesPerNode {
				t.Errorf("%.0f B/s a node with %d members and %d customers, want at most %d", c.bytesPerNode, c.members, c.customers, maxBytesPerNode)
			}
		})
	}
}

// TestSlopes prints what lending costs at a few sizes.
func TestSlopes(t *testing.T) {
	if !*slopesFlag {
		t.Skip("run with -slopes")
	}
	for _, size := range [][2]int{{3, 70}, {10, 500}, {30, 500}, {100, 1500}, {350, 4900}} {
		synctest.Test(t, func(t *testing.T) {
			c := measureCost(t, size[0], size[1])
			err := slope.Print(os.Stdout, slope.Point{
				Name: "quota.router", Size: float64(c.members), Unit: "routers, 14 customers each",
				// What one router sends another receives.
				BytesPerSecond:     2 * c.bytesPerNode,
				CPUMicrosPerSecond: c.cpuMicrosPerNodeSecond,
				HeapBytes:          c.heapBytes,
			})
			if err != nil {
				t.Fatal(err)
			}
		})
	}
}

func measureCost(t *testing.T, members, customers int) lendingCost {
	before := heapInUse()
	f := newFleet(3, members, members)
	ids, weights := scaleCustomers(f, members, customers)
	f.startAll()
	defer f.stopAll()
	time.Sleep(time.Second)
	random := rand.New(rand.NewPCG(9, 9))
	sendAll(f, ids, weights, random, scaleWarmUp)
	f.resetCounts()
	cpu := cpuTime()
	requests, refused := sendAll(f, ids, weights, random, scaleDuration)
	cpu = cpuTime() - cpu
	c := lendingCost{members: members, customers: customers, requests: requests, refused: refused}
	seconds := scaleDuration.Seconds()
	for _, address := range f.order {
		m := f.members[address]
		c.bytesPerNode += float64(m.sentBytes) / seconds / float64(members)
		c.callsPerNode += float64(m.sentCalls) / seconds / float64(members)
		c.busiestBytes = max(c.busiestBytes, float64(m.sentBytes)/seconds)
	}
	c.bytesPerRequest = c.bytesPerNode / requestsPerNode
	c.callsPerRequest = c.callsPerNode / requestsPerNode
	c.cpuMicrosPerNodeSecond = float64(cpu.Microseconds()) / seconds / float64(members)
	c.heapBytes = (heapInUse() - before) / float64(members)
	return c
}

// scaleCustomers publishes customers whose traffic falls with their rank.
func scaleCustomers(f *fleet, members, customers int) ([]quota.CustomerID, []float64) {
	var ids []quota.CustomerID
	var weights []float64
	var sum float64
	for i := range customers {
		ids = append(ids, quota.IDOf(fmt.Sprint("customer-", i)))
		weights = append(weights, 1/float64(i+10))
		sum += weights[i]
	}
	total := float64(requestsPerNode*members) * 500
	for i, id := range ids {
		weights[i] /= sum
		rate := max(100, 1.3*total*weights[i])
		f.config.set(id, quota.Limit{Rate: rate, Burst: max(10*rate, 3000)})
	}
	return ids, weights
}

func sendAll(f *fleet, ids []quota.CustomerID, weights []float64, random *rand.Rand, length time.Duration) (requests, refused int) {
	var work sync.WaitGroup
	var mu sync.Mutex
	perSecond := float64(requestsPerNode * len(f.order))
	for end := time.Now().Add(length); time.Now().Before(end); requests++ {
		time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		m := f.at(random.IntN(len(f.order)))
		id := ids[pickWeighted(random, weights)]
		tokens := 250 + random.Int64N(500)
		work.Go(func() {
			ticket, err := m.currentManager().Admit(context.Background(), id, tokens)
			if err != nil {
				mu.Lock()
				defer mu.Unlock()
				refused++
				return
			}
			ticket.Settle(tokens)
		})
	}
	work.Wait()
	return requests, refused
}

func (f *fleet) resetCounts() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.members {
		m.sentBytes, m.sentCalls = 0, 0
	}
}

func heapInUse() float64 {
	if !*slopesFlag {
		return 0
	}
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// cpuTime is the processor time of this process, the load included.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
