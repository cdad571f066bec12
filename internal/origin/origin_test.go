package origin

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
)

// Load pattern: two versions serve, and gateways are lost together with the one that began the
// streams. What the others say must be right, and known of most streams, at every size.
func TestStreamsAreKnownAfterGatewaysAreLost(t *testing.T) {
	const streams = 400
	for _, gateways := range []int{3, 5, 26, 103, 350} {
		t.Run(fmt.Sprint(gateways), func(t *testing.T) {
			c := newCluster(t, gateways)
			upstreams := upstreamsOf("v1", "v2")
			c.listAll(upstreams)
			for i := range streams {
				c.managers[0].Began(keyOf(i), upstreams[i%2])
			}
			c.settle()
			lost := 0
			for i := 0; i < gateways-1 && i < (gateways+2)/3; i++ {
				c.lose(c.names[i])
				lost++
			}
			known := 0
			for i := range streams {
				at := c.managers[lost+i%(gateways-lost)]
				got := at.Resolve(t.Context(), keyOf(i), testPool)
				if got.Finding == FindingUnknown {
					continue
				}
				known++
				if got.Software != upstreams[i%2].Software || got.Finding != FindingRecord {
					t.Fatalf("stream %d began at %s, got %+v", i, upstreams[i%2].Software, got)
				}
			}
			if known < streams*3/4 {
				t.Errorf("%d of %d streams are known after the loss of %d gateways, want three quarters", known, streams, lost)
			}
		})
	}
}

// A stream must be told to a fixed number of gateways, whatever the size of the fleet, and no
// gateway may get a large part of them.
func TestCostOfStreamDoesNotGrowWithFleet(t *testing.T) {
	const streams = 3000
	for _, gateways := range []int{5, 103, 350} {
		c := newCluster(t, gateways)
		upstreams := upstreamsOf("v1", "v2")
		c.listAll(upstreams)
		for i := range streams {
			c.managers[i%gateways].Began(keyOf(i), upstreams[0])
		}
		c.settle()
		sum, most := 0, 0
		for _, count := range c.records {
			sum += count
			most = max(most, count)
		}
		if sum != copies*streams {
			t.Errorf("%d gateways: %d copies of %d streams, want %d of each", gateways, sum, streams, copies)
		}
		if mean := sum / gateways; most > 2*mean+20 {
			t.Errorf("%d gateways: one keeps %d streams, the mean is %d", gateways, most, mean)
		}
	}
}

// While one version serves, streams cost no message, and any of them may go on.
func TestOneVersionCostsNoMessages(t *testing.T) {
	c := newCluster(t, 5)
	upstreams := upstreamsOf("v1", "v1")
	c.listAll(upstreams)
	c.pass(minHorizon)
	for i := range 100 {
		c.managers[0].Began(keyOf(i), upstreams[i%2])
	}
	c.settle()
	if got := c.sentMessages(); got != 0 {
		t.Errorf("%d messages, want none", got)
	}
	c.lose(c.names[0])
	if got := c.managers[1].Resolve(t.Context(), keyOf(1), testPool); got.Finding != FindingSingle || got.Software != "v1" {
		t.Errorf("got %+v, want the only version, v1", got)
	}
}

// Streams that began before a second version appeared are told of when it appears. One that
// nobody knows must not go on then, until all streams of that time have ended.
func TestStreamBegunBeforeSecondVersion(t *testing.T) {
	c := newCluster(t, 5)
	old := upstreamsOf("v1", "v1")
	c.listAll(old)
	c.pass(minHorizon)
	c.managers[0].Began(keyOf(1), old[0])
	c.listAll(append(upstreamsOf("v1", "v1", "v2")[2:], old...))
	c.settle()
	c.lose(c.names[0])
	if got := c.managers[1].Resolve(t.Context(), keyOf(1), testPool); got.Finding != FindingRecord || got.Software != "v1" {
		t.Errorf("got %+v, want the version from the record, v1", got)
	}
	if got := c.managers[1].Resolve(t.Context(), keyOf(2), testPool); got.Finding != FindingUnknown {
		t.Errorf("got %+v of a stream that nobody knows, want unknown", got)
	}
	c.listAll(upstreamsOf("v2", "v2"))
	if got := c.managers[1].Resolve(t.Context(), keyOf(2), testPool); got.Finding != FindingUnknown {
		t.Errorf("got %+v just after the last upstream of the other version has left, want unknown", got)
	}
	c.pass(minHorizon)
	if got := c.managers[1].Resolve(t.Context(), keyOf(2), testPool); got.Finding != FindingSingle || got.Software != "v2" {
		t.Errorf("got %+v after the horizon, want v2", got)
	}
}

// A gateway that has just started knows nothing of the time before; the others do. When all
// have just started, old upstreams show that none was replaced.
func TestStartedGateway(t *testing.T) {
	c := newCluster(t, 3)
	mixed, single := upstreamsOf("v1", "v2"), upstreamsOf("v2")
	c.listAll(mixed)
	c.pass(minHorizon)
	c.listAll(single)
	started := c.add("started")
	c.list(single, 3)
	if got := started.Resolve(t.Context(), keyOf(1), testPool); got.Finding != FindingUnknown {
		t.Errorf("got %+v while the others know of another version, want unknown", got)
	}
	c.pass(minHorizon)
	started.Began(keyOf(2), single[0])
	c.settle()
	if !started.IsSingle(testPool) {
		t.Error("a started gateway did not learn from those it told of a stream that one version serves")
	}
	second := c.add("second")
	c.list(single, 4)
	if got := second.Resolve(t.Context(), keyOf(1), testPool); got.Finding != FindingSingle {
		t.Errorf("got %+v while the others know of one version only, want that", got)
	}

	restarted := newCluster(t, 3)
	restarted.listAll(single)
	if got := restarted.managers[0].Resolve(t.Context(), keyOf(1), testPool); got.Finding != FindingUnknown {
		t.Errorf("got %+v after a restart of all gateways with upstreams that have just started, want unknown", got)
	}
	first := newCluster(t, 3)
	for _, m := range first.managers {
		m.history = newHistory(true)
	}
	first.listAll(single)
	if got := first.managers[0].Resolve(t.Context(), keyOf(1), testPool); got.Finding != FindingSingle || got.Software != "v2" {
		t.Errorf("got %+v after the first start of the system, want v2", got)
	}
	settled := newCluster(t, 3)
	old := upstreamsOf("v2")
	old[0].StartedMillis = time.Now().Add(-minHorizon - bornMargin - time.Second).UnixMilli()
	settled.listAll(old)
	if got := settled.managers[0].Resolve(t.Context(), keyOf(1), testPool); got.Finding != FindingSingle || got.Software != "v2" {
		t.Errorf("got %+v after a restart of all gateways with old upstreams, want v2", got)
	}
}

// A gateway that nobody answers must not rely on its list, however recent it is.
func TestGatewayThatIsCutOff(t *testing.T) {
	c := newCluster(t, 2)
	c.listAll(upstreamsOf("v1"))
	c.pass(minHorizon)
	c.lose(c.names[1])
	if got := c.managers[0].Resolve(t.Context(), keyOf(1), testPool); got.Finding != FindingSingle {
		t.Errorf("got %+v with the store in reach, want the only version", got)
	}
	c.cutFromStore(c.names[0])
	if got := c.managers[0].Resolve(t.Context(), keyOf(1), testPool); got.Finding != FindingUnknown {
		t.Errorf("got %+v without the store and other gateways, want unknown", got)
	}
}

// Upstreams of another version join while gateways are out of step, and a stream that began there
// is resumed at one of them. It must not go on at the version that they know, whoever else is out
// of step with it.
func TestStreamResumedAtGatewayOutOfStep(t *testing.T) {
	for name, test := range map[string]struct {
		cut func(c *cluster)
		// gateways follow the list with the version that joins.
		gateways []int
	}{
		"cut off alone":                         {func(c *cluster) { c.cutOff(c.names[2]) }, []int{0, 1, 3, 4}},
		"cut off from gateways":                 {func(c *cluster) { c.lose(c.names[2]) }, []int{0, 1, 3, 4}},
		"cut off from the store":                {func(c *cluster) { c.cutFromStore(c.names[2]) }, []int{0, 1, 3, 4}},
		"the one that began it does not answer": {func(c *cluster) { c.lose(c.names[0]) }, []int{0}},
		"out of step with others": {func(c *cluster) {
			c.lose(c.names[0])
			c.cutFromStore(c.names[2])
		}, []int{0}},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 5)
			c.listAll(upstreamsOf("v1", "v1"))
			c.pass(minHorizon)
			test.cut(c)
			joined := upstreamsOf("v1", "v1", "v2")
			c.list(joined, test.gateways...)
			c.managers[0].Began(keyOf(1), joined[2])
			c.settle()
			if got := c.managers[2].Resolve(t.Context(), keyOf(1), testPool); got.Finding != FindingUnknown && got.Software != "v2" {
				t.Errorf("got %+v, want unknown or v2, at which the stream began", got)
			}
		})
	}
}

// A gateway that has just been started again and has read no list does not know what it began
// before. Its answer must not count as one.
func TestAnswerOfGatewayWithoutListDoesNotCount(t *testing.T) {
	c := newCluster(t, 2)
	c.listAll(upstreamsOf("v1"))
	c.pass(minHorizon)
	c.managers[1].history = newHistory(false)
	c.cutFromStore(c.names[0])
	if got := c.managers[0].Resolve(t.Context(), keyOf(1), testPool); got.Finding != FindingUnknown {
		t.Errorf("got %+v although the other gateway may have begun the stream before, want unknown", got)
	}
}

// Load pattern: one version serves, a gateway is lost, and its streams are resumed at once at the
// others. While all answer they cost no read from the store.
func TestStreamsCostNoReadsWhileGatewaysAnswer(t *testing.T) {
	const streams = 200
	c := newCluster(t, 5)
	c.listAll(upstreamsOf("v1"))
	c.pass(minHorizon)
	resumeAll := func() {
		var wg sync.WaitGroup
		for i := range streams {
			wg.Go(func() {
				if got := c.managers[1].Resolve(t.Context(), keyOf(i), testPool); got.Finding != FindingSingle {
					t.Errorf("stream %d: got %+v, want the only version", i, got)
				}
			})
		}
		wg.Wait()
	}
	resumeAll()
	if c.reads > 0 {
		t.Errorf("%d reads while all gateways answer, want none", c.reads)
	}
	c.lose(c.names[0])
	resumeAll()
	if c.reads == 0 {
		t.Error("no read after the loss of a gateway, want at least one")
	}
}

// A stream that began at an ID which is soon listed with another version may have begun at
// either. One that began long before has begun at the former.
func TestUpstreamThatComesBackAtOtherVersion(t *testing.T) {
	c := newCluster(t, 3)
	before, after := upstreamsOf("v1", "v2"), upstreamsOf("v2", "v2")
	c.listAll(before)
	c.managers[0].Began(keyOf(1), before[0])
	c.pass(listDelay)
	c.managers[0].Began(keyOf(2), before[0])
	c.listAll(after)
	c.managers[0].Began(keyOf(3), before[0])
	c.settle()
	for i, want := range []string{"v1", "", ""} {
		for j, m := range c.managers {
			if got := m.Resolve(t.Context(), keyOf(i+1), testPool); got.Software != want || want == "" && got.Finding != FindingUnknown {
				t.Errorf("stream %d at %s: got %+v, want version %q", i+1, c.names[j], got, want)
			}
		}
	}
	if c.managers[0].IsUncertain(keyOf(1)) || !c.managers[0].IsUncertain(keyOf(2)) {
		t.Error("want only the stream that began shortly before the change to be uncertain")
	}
}

// Streams that may have begun at another incarnation than the listed one become unknown at all
// gateways, and only those.
func TestUncertaintyReachesOtherGateways(t *testing.T) {
	c := newCluster(t, 4)
	upstreams := upstreamsOf("v1", "v2")
	c.listAll(upstreams)
	c.managers[0].Began(keyOf(1), upstreams[0])
	c.pass(time.Second)
	since := c.now()
	c.managers[0].Began(keyOf(2), upstreams[0])
	c.managers[0].Began(keyOf(3), upstreams[1])
	c.settle()
	c.managers[0].MarkUncertain(upstreams[0].ID, since)
	c.settle()
	for i, want := range []string{"v1", "", "v2"} {
		for j, m := range c.managers {
			if got := m.Resolve(t.Context(), keyOf(i+1), testPool); got.Software != want {
				t.Errorf("stream %d at %s: got %+v, want version %q", i+1, c.names[j], got, want)
			}
		}
	}
}

// A copy that a gateway does not take goes to another one.
func TestLostGatewayIsReplacedAsKeeper(t *testing.T) {
	const streams = 100
	c := newCluster(t, 6)
	upstreams := upstreamsOf("v1", "v2")
	c.listAll(upstreams)
	c.lose("gateway-1")
	c.lose("gateway-2")
	for i := range streams {
		c.managers[0].Began(keyOf(i), upstreams[0])
	}
	c.settle()
	c.lose("gateway-0")
	for i := range streams {
		if got := c.managers[3].Resolve(t.Context(), keyOf(i), testPool); got.Finding != FindingRecord {
			t.Errorf("stream %d: got %+v, want a record", i, got)
		}
	}
}

// The memory for streams is bounded, and those of the last horizon are kept.
func TestTableIsBounded(t *testing.T) {
	table := newTable()
	now := bootclock.Instant(time.Hour)
	for i := range 5 * maxEntries {
		table.put(Key(i), &entry{}, minHorizon, now)
	}
	if got := table.size(); got > 2*maxEntries {
		t.Errorf("%d entries, want at most %d", got, 2*maxEntries)
	}
	if table.get(Key(5*maxEntries-1), minHorizon, now) == nil {
		t.Error("the newest entry is missing")
	}
	now = now.Add(minHorizon)
	table.put(1, &entry{}, minHorizon, now)
	if table.get(Key(5*maxEntries-1), minHorizon, now) == nil {
		t.Error("an entry is missing one horizon after it was put")
	}
	table.put(2, &entry{}, minHorizon, now.Add(minHorizon))
	table.put(3, &entry{}, minHorizon, now.Add(2*minHorizon))
	if got := table.size(); got != 2 {
		t.Errorf("%d entries two horizons later, want the two that were put since", got)
	}
}

// When a second version appears, the streams of a whole horizon are told of at once. None may be
// lost in that.
func TestAllStreamsOfHorizonAreToldOf(t *testing.T) {
	const streams = 5000
	c := newCluster(t, 3)
	old := upstreamsOf("v1")
	c.listAll(old)
	c.pass(minHorizon)
	for i := range streams {
		c.managers[0].Began(keyOf(i), old[0])
	}
	c.listAll(upstreamsOf("v1", "v2"))
	c.settle()
	c.lose(c.names[0])
	for i := range streams {
		if got := c.managers[1].Resolve(t.Context(), keyOf(i), testPool); got.Finding != FindingRecord {
			t.Fatalf("stream %d: got %+v, want a record", i, got)
		}
	}
}
