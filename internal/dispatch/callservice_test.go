package dispatch

import (
	"context"

	"github.com/greengagegate/greengagegate/internal/object"
	"github.com/greengagegate/greengagegate/internal/service"
	"github.com/greengagegate/greengagegate/membership"
)

// recordingService is the service of an agent. It records the executed calls by
// idempotency key.
type recordingService struct {
	fleet *callFleet
	agent *agentProcess
}

func (s *recordingService) Do(_ context.Context, call service.Call) (service.Answer, error) {
	if string(call.Body) == poisonText {
		s.fleet.poisonCalls.Add(1)
		return service.Answer{}, service.ErrOutcomeUnknown
	}
	key := call.Header.Get("Idempotency-Key")
	s.fleet.reachStage(beforeSending, s.agent.name)
	if s.takeCrash(beforeSending) {
		return service.Answer{}, service.ErrNotSent
	}
	s.fleet.reachStage(afterSending, s.agent.name)
	if s.takeCrash(afterSending) {
		return service.Answer{}, service.ErrOutcomeUnknown
	}
	s.fleet.mu.Lock()
	s.fleet.executionsByKey[key] = append(s.fleet.executionsByKey[key], call.RequestID)
	s.fleet.mu.Unlock()
	for _, stage := range []callStage{afterRunning, beforeAnswering} {
		s.fleet.reachStage(stage, s.agent.name)
		if s.takeCrash(stage) {
			return service.Answer{}, service.ErrOutcomeUnknown
		}
	}
	return service.Answer{Status: 200, Body: []byte("paid " + key)}, nil
}

// takeCrash reports whether a crash ends the call at this stage: a crash of the
// service, which takeCrash then clears so that it happens once, or a crash of the
// agent before it sent the call.
func (s *recordingService) takeCrash(stage callStage) bool {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	if s.fleet.crashService && s.fleet.faultStage == stage && s.fleet.injectFault == nil {
		s.fleet.crashService = false
		return true
	}
	select {
	case <-s.agent.crashed:
		return stage == beforeSending && !s.fleet.ownerPaused
	default:
		return false
	}
}

// fleetView is the membership view of a process of the fleet.
type fleetView struct {
	fleet *callFleet
	self  membership.Member
}

func (v fleetView) Self() membership.Member { return v.self }

func (v fleetView) Members() []membership.Member {
	var members []membership.Member
	for _, name := range agentNames {
		if a := v.fleet.agent(name); a != nil {
			members = append(members, a.member)
		}
	}
	return members
}

func (v fleetView) Changed() <-chan struct{} { return make(chan struct{}) }

// fixedSource is a source of settings that never change.
type fixedSource struct{ set *object.Set }

func (s fixedSource) Current() *object.Set     { return s.set }
func (s fixedSource) IsFresh() bool            { return true }
func (s fixedSource) Changed() <-chan struct{} { return make(chan struct{}) }
