package membership

import (
	"flag"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/greengagegate/greengagegate/internal/slope"
)

var slopes = flag.Bool("slopes", false, "measure cost against size")

// TestSlopes prints the cost per member in fleets of several sizes, both in a
// stable fleet and with one restart per second.
func TestSlopes(t *testing.T) {
	if !*slopes {
		t.Skip("run with -slopes")
	}
	for _, size := range []int{10, 50, 200, 950} {
		measure(t, "membership quiet", size, false)
		measure(t, "membership one restart a second", size, true)
	}
}

func measure(t *testing.T, name string, size int, restarts bool) {
	const settleTime, observationTime = 300 * time.Second, 30 * time.Second
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		empty := slope.Read()
		fleet := startFleet(t, n, size)
		defer func() { stopFleet(fleet) }()
		time.Sleep(settleTime)
		requireMemberCount(t, fleet, size, name)
		n.mu.Lock()
		bytesBefore := n.bytes
		n.mu.Unlock()
		before := slope.Read()
		for second := range int(observationTime / time.Second) {
			if restarts {
				i := 2 + second%(size-2)
				_ = fleet[i].Stop(t.Context())
				fleet[i] = startMember(t, n, i, uint64(1000+second))
			}
			time.Sleep(time.Second)
		}
		after := slope.Read()
		n.mu.Lock()
		sent := n.bytes - bytesBefore
		n.mu.Unlock()
		memberSeconds := float64(size) * observationTime.Seconds()
		point := slope.Point{
			Name: name, Size: float64(size), Unit: "members",
			// Each byte is sent by one member and received by another.
			BytesPerSecond:     2 * float64(sent) / memberSeconds,
			CPUMicrosPerSecond: float64((after.CPU - before.CPU).Microseconds()) / memberSeconds,
			HeapBytes:          float64(after.Heap-empty.Heap) / float64(size),
		}
		if err := slope.Print(os.Stdout, point); err != nil {
			t.Fatal(err)
		}
	})
}
