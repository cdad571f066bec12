// Command stand3 runs a case of the third review: it starts the project's gateway as processes and
// plays the platform, the runners and the clients for it, as the users' pages describe them.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// cases are the cases by name. trouble is false if the case runs without its disruption.
var cases = map[string]func(c *stand, trouble bool) (broke bool, err error){
	"config-memory": configMemory,
	"foreign-entry": foreignEntry,
	"large-entries": leaveUnheard,
	"quota-restart": quotaRestart,
	"slow-reader":   slowReader,
	"stray-entry":   strayEntry,
}

// stand is what a case works with.
type stand struct {
	folder, temporary string
	record            *record
	store             *store
	storeAddress      string
	gateways          []*gateway
	runners           []*runner
	// kills counts the processes that the platform has killed.
	kills atomic.Int32
}

// newStand starts the store.
func newStand(folder, temporary string) *stand {
	listener, err := net.Listen("tcp", "127.0.6.1:0")
	if err != nil {
		panic(err)
	}
	s := &stand{folder: folder, temporary: temporary, record: newRecord(folder), store: newStore(), storeAddress: listener.Addr().String()}
	go func() { _ = http.Serve(listener, s.store) }()
	return s
}

// addGateway writes the settings of a gateway and starts it.
func (s *stand) addGateway(changed map[string]string) *gateway {
	g := newGateway(s.temporary, len(s.gateways)+1, s.storeAddress, changed)
	s.gateways = append(s.gateways, g)
	g.start()
	return g
}

// inParallel calls a function count times at once and waits for all.
func (s *stand) inParallel(count int, call func(i int)) {
	var calls sync.WaitGroup
	for i := range count {
		calls.Go(func() { call(i) })
	}
	calls.Wait()
}

// hasRun reports whether a request has run.
func (s *stand) hasRun(id string) bool {
	for _, r := range s.runners {
		for _, one := range r.ran() {
			if one.id == id {
				return true
			}
		}
	}
	return false
}

// runCase runs a case and returns the exit code.
func runCase(name, folder string) int {
	play, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "there is no case", name)
		return failed
	}
	temporary, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer os.RemoveAll(temporary)
	s := newStand(folder, temporary)
	defer func() {
		for _, g := range s.gateways {
			g.stop()
		}
	}()
	broke, err := play(s, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		s.record.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return failed
	case broke:
		return broken
	default:
		return held
	}
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand3 CASE FOLDER")
		os.Exit(failed)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}
