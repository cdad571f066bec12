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
	requestsPerMemberSecond = 7
	scaleWarmUp             = 5 * time.Second
	scaleDuration           = 20 * time.Second
	maxBytesPerMemberSecond = 1000
)

// lendingCost is the cost of lending measured in one run. bytesPerMember and
// callsPerMember are per second.
type lendingCost struct {
	members, customers             int
	bytesPerMember, callsPerMember float64
	bytesPerRequest                float64
	callsPerRequest                float64
	busiestBytesPerSecond          float64
	requests, refused              int
	cpuMicrosPerMemberSecond       float64
	heapBytes                      float64
}

// TestScale guards against lending that costs a member more than
// maxBytesPerMemberSecond, whatever the number of members and customers. Each member
// receives 7 requests per second. The traffic of customers falls with their
// rank (Zipf's law), and each requests at most 77% of its rate.
func TestScale(t *testing.T) {
	sizes := [][2]int{{3, 5}, {3, 500}}
	if !testing.Short() {
		sizes = append(sizes, [2]int{30, 500})
	}
	if *scaleFlag {
		sizes = append(sizes, [2]int{3, 4900}, [2]int{30, 4900}, [2]int{350, 500}, [2]int{350, 4900})
	}
	t.Logf("| members | customers | B/s per member | B/s of the busiest member | calls per request | bytes per request | requests | refused |")
	for _, size := range sizes {
		synctest.Test(t, func(t *testing.T) {
			cost := measureCost(t, size[0], size[1])
			t.Logf("| %d | %d | %.0f | %.0f | %.2f | %.0f | %d | %d |",
				cost.members, cost.customers, cost.bytesPerMember, cost.busiestBytesPerSecond, cost.callsPerRequest, cost.bytesPerRequest, cost.requests, cost.refused)
			if cost.bytesPerMember > maxBytesPerMemberSecond {
				t.Errorf("%.0f B/s per member with %d members and %d customers, want at most %d", cost.bytesPerMember, cost.members, cost.customers, maxBytesPerMemberSecond)
			}
		})
	}
}

// TestSlopes prints the cost of lending for several fleet sizes.
func TestSlopes(t *testing.T) {
	if !*slopesFlag {
		t.Skip("run with -slopes")
	}
	for _, size := range [][2]int{{3, 70}, {10, 500}, {30, 500}, {100, 1500}, {350, 4900}} {
		synctest.Test(t, func(t *testing.T) {
			cost := measureCost(t, size[0], size[1])
			err := slope.Print(os.Stdout, slope.Point{
				Name: "quota.router", Size: float64(cost.members), Unit: "routers, 14 customers each",
				// Each byte that one router sends is received by another one.
				BytesPerSecond:     2 * cost.bytesPerMember,
				CPUMicrosPerSecond: cost.cpuMicrosPerMemberSecond,
				HeapBytes:          cost.heapBytes,
			})
			if err != nil {
				t.Fatal(err)
			}
		})
	}
}

// measureCost runs a fleet and returns the cost after warm-up.
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
	cost := lendingCost{members: members, customers: customers, requests: requests, refused: refused}
	f.addCounts(&cost)
	cost.bytesPerRequest = cost.bytesPerMember / requestsPerMemberSecond
	cost.callsPerRequest = cost.callsPerMember / requestsPerMemberSecond
	cost.cpuMicrosPerMemberSecond = float64(cpu.Microseconds()) / scaleDuration.Seconds() / float64(members)
	cost.heapBytes = (heapInUse() - before) / float64(members)
	return cost
}

// scaleCustomers configures customers whose traffic falls with their rank, and
// returns their ids and fractions of the traffic.
func scaleCustomers(f *fleet, members, customers int) ([]quota.CustomerID, []float64) {
	var ids []quota.CustomerID
	var weights []float64
	var sum float64
	for i := range customers {
		ids = append(ids, quota.CustomerIDOf(fmt.Sprint("customer-", i)))
		weights = append(weights, 1/float64(i+10))
		sum += weights[i]
	}
	// A request costs 500 tokens on average.
	total := float64(requestsPerMemberSecond*members) * 500
	for i, id := range ids {
		weights[i] /= sum
		rate := max(100, 1.3*total*weights[i])
		f.config.set(id, quota.Limit{Rate: rate, Burst: max(10*rate, 3000)})
	}
	return ids, weights
}

// sendAll sends requests to random members and returns when all have been
// answered.
func sendAll(f *fleet, ids []quota.CustomerID, weights []float64, random *rand.Rand, length time.Duration) (requests, refused int) {
	var work sync.WaitGroup
	var mu sync.Mutex
	perSecond := float64(requestsPerMemberSecond * len(f.order))
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

// addCounts adds what the members have sent since resetCounts to a cost. The members go on sending.
func (f *fleet) addCounts(cost *lendingCost) {
	f.mu.Lock()
	defer f.mu.Unlock()
	seconds := scaleDuration.Seconds()
	for _, address := range f.order {
		m := f.members[address]
		cost.bytesPerMember += float64(m.sentBytes) / seconds / float64(cost.members)
		cost.callsPerMember += float64(m.sentCalls) / seconds / float64(cost.members)
		cost.busiestBytesPerSecond = max(cost.busiestBytesPerSecond, float64(m.sentBytes)/seconds)
	}
}

func (f *fleet) resetCounts() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.members {
		m.sentBytes, m.sentCalls = 0, 0
	}
}

// heapInUse returns the bytes on the heap after a garbage collection, or zero
// unless slopes are measured.
func heapInUse() float64 {
	if !*slopesFlag {
		return 0
	}
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// cpuTime returns the processor time of this process, including that of the
// load generator.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
