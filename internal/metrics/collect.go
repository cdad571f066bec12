package metrics

import (
	"sync"

	"github.com/rcrowley/go-metrics"
)

// collectors are the functions that set gauges immediately before metrics are read.
var collectors struct {
	sync.Mutex
	nextID    int
	functions map[int]func()
}

// RegisterCollector registers a function that sets gauges. It is called immediately before the
// metrics are read, so that these gauges cost nothing between reads. It must not call
// RegisterCollector or unregister. The returned function removes it and waits for a call in
// progress.
func RegisterCollector(collect func()) (unregister func()) {
	collectors.Lock()
	defer collectors.Unlock()
	if collectors.functions == nil {
		collectors.functions = make(map[int]func())
	}
	id := collectors.nextID
	collectors.nextID++
	collectors.functions[id] = collect
	return func() {
		collectors.Lock()
		defer collectors.Unlock()
		delete(collectors.functions, id)
	}
}

func runCollectors() {
	collectors.Lock()
	defer collectors.Unlock()
	for _, collect := range collectors.functions {
		collect()
	}
}

// Family is a set of registered gauges with one name whose label values appear and
// disappear, such as a gauge for each upstream. It is not safe for concurrent use.
type Family struct {
	name     string
	current  map[string]bool
	previous map[string]bool
}

// NewFamily returns a family without gauges.
func NewFamily(name string) *Family { return &Family{name: name, current: make(map[string]bool)} }

// Begin starts an update, in which Set must be called for each gauge to keep.
func (f *Family) Begin() { f.previous, f.current = f.current, make(map[string]bool, len(f.current)) }

// Set sets the gauge with these pairs of label and value, and adds it if needed. It
// must be called between Begin and End.
func (f *Family) Set(value int64, labels ...string) {
	name := registryName(f.name, labels)
	f.current[name] = true
	metrics.GetOrRegisterGauge(name, nil).Update(value)
}

// End removes the gauges that have not been set since Begin.
func (f *Family) End() {
	for name := range f.previous {
		if !f.current[name] {
			metrics.Unregister(name)
		}
	}
	f.previous = nil
}
