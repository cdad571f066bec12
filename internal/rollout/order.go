package rollout

import (
	"time"

	"github.com/greengagegate/greengagegate/internal/catalog"
)

// OrderID identifies an order to move a pool to a software version.
type OrderID struct {
	Pool string
	// Target is the software version.
	Target string
	// Created is catalog.Rollout.Created.
	Created int64
}

// idOf returns the identity of an order.
func idOf(order *catalog.Rollout) OrderID {
	return OrderID{Pool: order.Pool, Target: order.Target, Created: order.Created}
}

// Update is a decision on an order. The gateway that holds the orders lease makes it and
// sends it to the others.
type Update struct {
	Order OrderID
	// Token is the fencing token of the holder's lease, and Number rises with each step of
	// one holder. A later decision has a higher Token, or the same Token and a higher Number.
	Token  int64
	Number int64
	Step   Step
	// Canaries is the number of the target's upstreams that take its share.
	Canaries int
	// Elapsed is the time since the order, as of the decision.
	Elapsed time.Duration
	// Reason explains a rollback; empty otherwise.
	Reason string
}

// isLaterThan reports whether u replaces former. A rollback is final.
func (u *Update) isLaterThan(former *Update) bool {
	switch {
	case former.Step.Stage == StageRolledBack:
		return false
	case u.Step.Stage == StageRolledBack:
		return true
	case u.Token != former.Token:
		return u.Token > former.Token
	default:
		return u.Number >= former.Number
	}
}

// Report is what one gateway has observed of an order since it learned of it.
type Report struct {
	Order OrderID
	// Incarnation identifies the life of the gateway, whose counts begin at zero.
	Incarnation int64
	// RunningAtOthers is the number of the gateway's requests that run at upstreams of other
	// versions than the target.
	RunningAtOthers int64
	// Elapsed is the time since the order, as far as the gateway knows it. A holder that has
	// started after the order learns it from the others.
	Elapsed time.Duration
	// Others holds the counts of the other versions, and Targets those of the target by the
	// ID of the upstream.
	Others  Evidence
	Targets map[string]Evidence
}
