package sizesplit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
)

const testStart = bootclock.Instant(1_000_000_000_000)

// testWork returns work with mean prefill times of 20 and 140 ms.
func testWork(short, long float64) *Work {
	w := &Work{
		Short: {Engines: short, RequestsPerSecond: 50 * short, MeanMS: 20, ResidualMS: 10, Objective: 400 * time.Millisecond},
		Long:  {Engines: long, RequestsPerSecond: 7 * long, MeanMS: 140, ResidualMS: 100, Objective: 1500 * time.Millisecond, Priority: 2},
	}
	return w
}

// The parts must add up to the pool. A pool of one engine and one with a single class are not
// divided, and neither class may be left without an engine however large the other one's work.
func TestSizesOfParts(t *testing.T) {
	for _, c := range []struct {
		short, long float64
		engines     int
		want        Counts
	}{
		{5, 10, 1, Counts{PartShared: 1}},
		{5, 10, 0, Counts{}},
		{5, 0, 42, Counts{PartShared: 42}},
		{0, 5, 42, Counts{PartShared: 42}},
		{5, 10, 2, Counts{PartShort: 1, PartLong: 1}},
		{0.1, 0.1, 42, Counts{PartShort: 1, PartLong: 1, PartShared: 40}},
		{4.5, 60, 42, Counts{PartShort: 6, PartLong: 36}},
	} {
		var s Split
		if got := s.Update(testWork(c.short, c.long), c.engines, testStart); got != c.want {
			t.Errorf("work %v and %v, %d engines: got %v, want %v", c.short, c.long, c.engines, got, c.want)
		}
	}
	for _, work := range []*Work{testWork(500, 5), testWork(5, 500), testWork(500, 500)} {
		var s Split
		if got := s.Update(work, 42, testStart); got[PartShort] < 1 || got[PartLong] < 1 || got[PartShort]+got[PartLong] != 42 {
			t.Errorf("got %v for %v, want an engine or more for each class", got, work)
		}
	}
}

// A part must change by at most one engine in a second, and not at all while the measured work
// differs by a tenth from one moment to the next; otherwise cached prefixes move for nothing.
func TestPartsChangeSlowly(t *testing.T) {
	var s Split
	random := rand.New(rand.NewPCG(1, 2))
	previous, changes := s.Update(testWork(4.5, 10), 42, testStart), 0
	for i := 1; i < 1200; i++ {
		now := testStart.Add(time.Duration(i) * 50 * time.Millisecond)
		got := s.Update(testWork(4.5*(0.95+0.1*random.Float64()), 10), 42, now)
		if got[PartShort] != previous[PartShort] {
			changes++
		}
		previous = got
	}
	if changes > 1 {
		t.Errorf("the short part changed %d times, want at most once", changes)
	}
	for i := range 20 {
		got := s.Update(testWork(13.5, 10), 42, testStart.Add(time.Minute+time.Duration(i)*500*time.Millisecond))
		if got[PartShort] > 6+1+i/2+1 {
			t.Fatalf("%d engines in the short part after %d half seconds, want at most one more each second", got[PartShort], i)
		}
	}
}

// Each zone must have engines of both parts, the loss of an engine must not change the order of
// the others, and one engine more in a part must change the part of one engine only.
func TestEnginesKeepTheirParts(t *testing.T) {
	var engines []Engine
	for i := range 42 {
		engines = append(engines, Engine{ID: fmt.Sprint("e", i), Zone: fmt.Sprint("z", i%4)})
	}
	assign := func(counts Counts, lost string) map[string]Part {
		parts := make(map[string]Part)
		usable := func(id string) bool { return id != lost }
		NewLayout("pool", engines).Assign(counts, usable, func(id string, part Part) { parts[id] = part })
		return parts
	}
	differences := func(a, b map[string]Part) (count int) {
		for id, part := range a {
			if other, ok := b[id]; ok && other != part {
				count++
			}
		}
		return count
	}
	before := assign(Counts{PartShort: 8, PartLong: 16, PartShared: 18}, "")
	zones := make(map[string]bool)
	for _, e := range engines {
		zones[fmt.Sprint(e.Zone, before[e.ID])] = true
		after := assign(Counts{PartShort: 8, PartLong: 16, PartShared: 17}, e.ID)
		if got := differences(before, after); got > 4 {
			t.Errorf("%d other engines changed their part when %s was lost, want at most one in each zone", got, e.ID)
		}
	}
	if len(zones) != 12 {
		t.Errorf("got %v, want all parts in all zones", zones)
	}
	if got := differences(before, assign(Counts{PartShort: 9, PartLong: 16, PartShared: 17}, "")); got != 1 {
		t.Errorf("%d engines changed their part for one step, want 1", got)
	}
	for _, pool := range [][]Engine{engines[:1], engines[:2]} {
		parts := make(map[Part]int)
		NewLayout("pool", pool).Assign(Counts{PartShort: len(pool) / 2, PartLong: len(pool) / 2}, func(string) bool { return true }, func(_ string, part Part) { parts[part]++ })
		if len(pool) == 1 && parts[PartShared] != 1 || len(pool) == 2 && (parts[PartShort] != 1 || parts[PartLong] != 1) {
			t.Errorf("%d engines: got %v", len(pool), parts)
		}
	}
}

// A gateway that joins late must measure the same work as the others within two seconds, and
// none before it has enough requests to judge.
func TestMeterOfALateGateway(t *testing.T) {
	var early, late Meter
	now := testStart
	for i := range 1200 {
		now = now.Add(10 * time.Millisecond)
		early.Record(Short, 20, 400*time.Millisecond, 0, now)
		if i >= 1000 {
			late.Record(Short, 20, 400*time.Millisecond, 0, now)
		}
		if i == 1050 && late.Work(8, now) != (Work{}) {
			t.Error("the late gateway has work after half a second")
		}
	}
	a, b := early.Work(8, now)[Short], late.Work(8, now)[Short]
	if a.Engines < 15 || a.Engines > 17 || b.Engines < 15 || b.Engines > 17 {
		t.Errorf("got %v and %v engines of work, want 16", a.Engines, b.Engines)
	}
	if got := late.Work(8, now.Add(time.Minute)); got != (Work{}) {
		t.Errorf("got %v a minute after the last request, want none", got)
	}
}

// A request must cost nothing in its own part, and more in the other part the busier that is.
func TestPenalties(t *testing.T) {
	costs := func(short, long float64) *Costs {
		c := NewCosts(testWork(short, long), Counts{PartShort: 6, PartLong: 20, PartShared: 16})
		return &c
	}
	quiet, busy := costs(0.1, 0.1), costs(5, 25)
	if busy.PenaltyMS(Short, PartShort, 20) != 0 || busy.PenaltyMS(Long, PartLong, 140) != 0 || busy.PenaltyMS(Long, PartShared, 140) != 0 {
		t.Error("a request has a penalty in its own part")
	}
	for _, class := range []Class{Short, Long} {
		other := PartLong - Part(class)
		if class == Short {
			other = PartLong
		}
		if low, high := quiet.PenaltyMS(class, other, 140), busy.PenaltyMS(class, other, 140); low > 10 || high < 100 {
			t.Errorf("class %v: penalty %v ms in a quiet pool, %v in a busy one, want at most 10 and at least 100", class, low, high)
		}
	}
	if short, long := ClassOf(826, LimitTokens(400*time.Millisecond, 38.7)), ClassOf(9190, LimitTokens(400*time.Millisecond, 38.7)); short != Short || long != Long {
		t.Errorf("got classes %v and %v", short, long)
	}
	if ClassOf(1<<30, LimitTokens(0, 38.7)) != Short {
		t.Error("a request is long although no objective is known")
	}
}
