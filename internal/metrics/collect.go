package metrics

import (
	"sync"

	"github.com/rcrowley/go-metrics"
)

// collectors set gauges right before the metrics are read.
var collectors struct {
	sync.Mutex
	next  int
	calls map[int]func()
}

// OnRead registers a call that sets gauges right before the metrics are read, so
// that they cost nothing otherwise. The returned function withdraws it.
func OnRead(call func()) (withdraw func()) {
	collectors.Lock()
	defer collectors.Unlock()
	if collectors.calls == nil {
		collectors.calls = make(map[int]func())
	}
	id := collectors.next
	collectors.next++
	collectors.calls[id] = call
	return func() {
		collectors.Lock()
		defer collectors.Unlock()
		delete(collectors.calls, id)
	}
}

func collect() {
	collectors.Lock()
	defer collectors.Unlock()
	for _, call := range collectors.calls {
		call()
	}
}

// Family is a gauge with labels whose values come and go, such as one for each
// upstream. It is used by one goroutine at a time.
type Family struct {
	name    string
	current map[string]bool
	former  map[string]bool
}

// NewFamily returns a family without members.
func NewFamily(name string) *Family { return &Family{name: name, current: make(map[string]bool)} }

// Begin starts a new set of members.
func (f *Family) Begin() { f.former, f.current = f.current, make(map[string]bool, len(f.current)) }

// Set adds a member, or changes its value.
func (f *Family) Set(value int64, labels ...string) {
	name := labelled(f.name, labels)
	f.current[name] = true
	metrics.GetOrRegisterGauge(name, nil).Update(value)
}

// End drops the members that were not set since Begin.
func (f *Family) End() {
	for name := range f.former {
		if !f.current[name] {
			metrics.Unregister(name)
		}
	}
	f.former = nil
}
