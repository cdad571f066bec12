package dispatch

import (
	"context"

	"github.com/greengagegate/greengagegate/internal/object"
	"github.com/greengagegate/greengagegate/internal/service"
	"github.com/greengagegate/greengagegate/membership"
)

// ledgerDriver is an agent's service. It counts executions by key.
type ledgerDriver struct {
	w *callFleet
	a *agentProcess
}

func (d *ledgerDriver) Do(_ context.Context, call service.Call) (service.Answer, error) {
	if string(call.Body) == poisonText {
		d.w.poisoned.Add(1)
		return service.Answer{}, service.ErrOutcomeUnknown
	}
	key := call.Header.Get("Idempotency-Key")
	d.w.reach(beforeSending, d.a.name)
	if d.crashed(beforeSending) {
		return service.Answer{}, service.ErrNotSent
	}
	d.w.reach(afterSending, d.a.name)
	if d.crashed(afterSending) {
		return service.Answer{}, service.ErrOutcomeUnknown
	}
	d.w.mu.Lock()
	d.w.ledger[key] = append(d.w.ledger[key], call.RequestID)
	d.w.mu.Unlock()
	for _, at := range []point{afterRunning, beforeAnswering} {
		d.w.reach(at, d.a.name)
		if d.crashed(at) {
			return service.Answer{}, service.ErrOutcomeUnknown
		}
	}
	return service.Answer{Status: 200, Body: []byte("paid " + key)}, nil
}

// crashed reports whether the service crashed at this point, or its agent did
// before it sent anything.
func (d *ledgerDriver) crashed(at point) bool {
	d.w.mu.Lock()
	defer d.w.mu.Unlock()
	if d.w.upstream && d.w.at == at && d.w.inject == nil {
		d.w.upstream = false
		return true
	}
	select {
	case <-d.a.dead:
		return at == beforeSending && !d.w.paused
	default:
		return false
	}
}

type view struct {
	w    *callFleet
	self membership.Member
}

func (v view) Self() membership.Member { return v.self }

func (v view) Members() []membership.Member {
	var members []membership.Member
	for _, name := range agentNames {
		if a := v.w.agent(name); a != nil {
			members = append(members, a.member)
		}
	}
	return members
}

func (v view) Changed() <-chan struct{} { return make(chan struct{}) }

type source struct{ set *object.Set }

func (s source) Current() *object.Set     { return s.set }
func (s source) Fresh() bool              { return true }
func (s source) Changed() <-chan struct{} { return make(chan struct{}) }
