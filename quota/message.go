package quota

import (
	"context"
	"time"
)

// Tier tells loans from grants.
type Tier uint8

// The tiers of asks.
const (
	// TierGrant is a router's ask to a pool.
	TierGrant Tier = iota
	// TierLoan is a pool's ask to the holder of a share.
	TierLoan
	// TierBackup is a stopping holder's deposit of its shares' state with a peer.
	TierBackup
	// TierRestore is a restarted holder's demand for its deposit.
	TierRestore
	// TierReserve is a holder's note to a peer of the tokens that it will not lend
	// before a further note.
	TierReserve Tier = 5
)

// Instant is a reading of one process's monotonic clock. It has a meaning for
// that process alone; others pass it back.
type Instant struct {
	// Incarnation names the life of the process. Zero says that there is no reading.
	Incarnation uint32
	// Micros is the time since the process's start in microseconds.
	Micros int64
}

// TokenRequest concerns one customer in a request.
type TokenRequest struct {
	Customer CustomerID
	// Seq grows with each ask of a borrower for the customer to the same peer.
	Seq uint64
	// Want is the number of tokens needed; it is given whole or not at all.
	Want int64
	// Extra is the number of further tokens that would spare asks.
	Extra int64
	// Holding is the number of unspent tokens from this peer that the borrower keeps.
	Holding int64
	// Returned is the number of unspent tokens from this peer that the borrower gives back.
	Returned int64
	// Refund is the number of tokens that were spent and then not used.
	Refund int64
	// RefundSince is, on the peer's clock, not later than the spending of Refund.
	RefundSince Instant
}

// TokenReply is the reply to one Ask.
type TokenReply struct {
	Granted int64
	// Renewed says that the term of Holding starts anew with the ask.
	Renewed bool
	// Left is the number of tokens that the peer still has for the customer.
	Left int64
	// Wait is when Want may be there, if it was not given.
	Wait time.Duration
}

// SlotEpoch names one tenure of a slot.
type SlotEpoch struct {
	Index int
	// Epoch grows by one with each tenure.
	Epoch uint64
}

// Loan is what one borrower may have unspent of a share.
type Loan struct {
	Borrower uint64
	Seq      uint64
	Tokens   float64
}

// ShareState is the state of one customer's share at the stop of its holder.
type ShareState struct {
	Customer CustomerID
	// Level is the number of tokens in the share.
	Level float64
	Loans []Loan
}

// ShareBackup is the state of a stopped holder's shares.
type ShareBackup struct {
	// Holder is the address of the holder.
	Holder string
	// Age is the time since the holder stopped, at the time of sending.
	Age time.Duration
	// Slots are the tenures that ended.
	Slots  []SlotEpoch
	Shares []ShareState
	// Seq grows with each note of reserved tokens.
	Seq uint64
	// Until is set in notes of reserved tokens, whose shares are only those that
	// changed. It is the time on the keeper's clock at which it must forget them.
	Until Instant
}

// Request is sent from a borrower to a peer.
type Request struct {
	Tier Tier
	// Borrower identifies the asking process's life. Transports fill it in
	// at the receiver from what they know of the sender.
	Borrower      uint64
	TokenRequests []TokenRequest
	// ShareBackup is what is deposited or reserved, or names the holder whose deposit
	// is claimed, with the tenures of the claim.
	ShareBackup *ShareBackup
}

// Reply answers the asks of a request in their order. It has no answers when
// the peer could not take the request.
type Reply struct {
	TokenReplies []TokenReply
	// Clock is the peer's time while it answered.
	Clock Instant
	// ShareBackup answers a claim.
	ShareBackup *ShareBackup
}

// Transport carries requests to peers.
type Transport interface {
	// Call blocks until the peer has answered or ctx ends. After an error the
	// request may or may not have been handled, and its answer is never delivered.
	Call(ctx context.Context, address string, request *Request) (*Reply, error)
}

// Router is a live router as membership sees it.
type Router struct {
	Address string
	Region  string
}

// HeldSlot is a slot that this process holds.
type HeldSlot struct {
	SlotEpoch
	// Since is when this process took the slot up, on its own clock.
	Since time.Time
	// Unused says that no process ever held the slot before, so that its shares start full.
	Unused bool
}

// Directory tells who takes part. A wrong entry costs a message, but for Held,
// which must be right.
type Directory interface {
	// Routers returns the live routers, this process included.
	Routers() []Router
	// Holder returns the address of the holder of a slot, or "".
	Holder(slot int) string
	// Held returns the slots that this process may use now.
	Held() []HeldSlot
}

// Config tells the limits in force.
type Config interface {
	// Limit returns a customer's limit.
	Limit(customer CustomerID) (Limit, bool)
	// Revision grows with each change of the limits or the slots.
	Revision() uint64
	// Customers returns the customers that have a limit.
	Customers() []CustomerID
	// Slots returns the number of entry slots.
	Slots() int
	// Fresh says whether the configuration can be relied on. Shares rest while it cannot.
	Fresh() bool
}
