package quota

import (
	"context"
	"time"
)

// RequestKind is the kind of a request.
type RequestKind uint8

// Kinds of requests.
const (
	// KindGrant is a router's request to a pool.
	KindGrant RequestKind = iota
	// KindLoan is a pool's request to the holder of a share.
	KindLoan
	// KindBackup asks a peer to keep the state of a stopping holder's shares.
	KindBackup
	// KindRestore asks a peer for the share backup of a restarted holder.
	KindRestore
	// KindReserve reports to a peer how many tokens a holder will not lend
	// before its next update. The number 4 is reserved on the wire.
	KindReserve RequestKind = 5
)

// Instant is a reading of one process's monotonic clock. It has a meaning only
// for that process. Peers pass it back unchanged or move it by elapsed time.
type Instant struct {
	// Incarnation identifies the incarnation of the process. Zero means that
	// there is no reading.
	Incarnation uint32
	// Micros is the time since the process started, in microseconds.
	Micros int64
}

// TokenRequest is the part of a request that concerns one customer.
type TokenRequest struct {
	Customer CustomerID
	// Seq increases with each request of a borrower for the customer to the
	// same peer.
	Seq uint64
	// Want is the number of tokens needed. A pool grants all of them or none; a
	// lender may grant some.
	Want int64
	// Extra is the number of further tokens that would save later requests.
	Extra int64
	// Holding is the number of unspent tokens from this peer that the borrower keeps.
	Holding int64
	// Returned is the number of unspent tokens from this peer that the borrower gives back.
	Returned int64
	// Refund is the number of tokens that were spent and then not used.
	Refund int64
	// RefundSince is a reading of the peer's clock that is not later than the
	// spending of any of the Refund tokens.
	RefundSince Instant
}

// TokenReply is the reply to one TokenRequest.
type TokenReply struct {
	Granted int64
	// Renewed is true if the term of Holding restarts with the request. If it
	// is false, the borrower must give up Holding.
	Renewed bool
	// Remaining is the number of tokens that the peer still has for the customer.
	Remaining int64
	// Wait is the time after which Want may be available, if it was not
	// granted.
	Wait time.Duration
}

// SlotEpoch identifies one period during which a process holds a slot.
type SlotEpoch struct {
	Index int
	// Epoch increases by one each time the slot is acquired.
	Epoch uint64
}

// Loan is the number of tokens of a share that one borrower may still have
// unspent.
type Loan struct {
	Borrower uint64
	Seq      uint64
	Tokens   float64
}

// ShareState is the state of one customer's share when its holder stopped.
type ShareState struct {
	Customer CustomerID
	// Level is the number of tokens in the share.
	Level float64
	Loans []Loan
}

// ShareBackup carries the state of a holder's shares or its reserve. It has four
// uses:
//   - a share backup of a stopped holder, in a KindBackup request or the reply to
//     KindRestore, with Holder, Age, Slots and Shares;
//   - a reserve update, in a KindReserve request, with Holder, Seq and the Shares
//     that changed, whose Level is the reserve, and with Slots and Until if the
//     update has a term;
//   - a reserve, in the reply to KindRestore if there is no backup, with Holder,
//     Slots, Until and Shares;
//   - a KindRestore request, with Holder and the new epochs in Slots.
//
// In a reply, a nonzero Until marks a reserve.
type ShareBackup struct {
	// Holder is the address of the holder.
	Holder string
	// Age is the time since the holder stopped, at the time of sending.
	Age time.Duration
	// Slots are the slots of the holder. Share backups and stored reserves have
	// the epochs in which the holder held them.
	Slots  []SlotEpoch
	Shares []ShareState
	// Seq increases with each reserve update.
	Seq uint64
	// Until is the time, on the clock of the peer that keeps the reserve, at
	// which the peer must drop it. It is zero in share backups and in reserve
	// updates that keep the term.
	Until Instant
}

// Request is a message from a borrower to a peer.
type Request struct {
	Kind RequestKind
	// Borrower identifies the incarnation of the requesting process. On the
	// receiving side the transport sets it from what it knows of the sender.
	Borrower      uint64
	TokenRequests []TokenRequest
	// ShareBackup is the backup or reserve to keep. In a KindRestore request it
	// contains only the holder and the slots, with their new epochs, for which
	// a backup is requested.
	ShareBackup *ShareBackup
}

// Reply answers the token requests of a request in their order. It has no token
// replies if the peer could not process the request.
type Reply struct {
	TokenReplies []TokenReply
	// Clock is the peer's time while it processed the request.
	Clock Instant
	// ShareBackup is the backup or reserve that KindRestore requested, or nil if
	// the peer has neither.
	ShareBackup *ShareBackup
}

// Transport sends requests to peers.
type Transport interface {
	// Call blocks until the peer has replied or ctx ends. After an error the
	// request may or may not have been processed, and its reply is never
	// delivered.
	Call(ctx context.Context, address string, request *Request) (*Reply, error)
}

// Router is a live router as reported by membership.
type Router struct {
	Address string
	Region  string
}

// HeldSlot is a slot that this process holds.
type HeldSlot struct {
	SlotEpoch
	// Since is the time on this process's clock at which it acquired the slot.
	Since time.Time
	// Unused is true if no process has held the slot before. Its shares then
	// start full.
	Unused bool
}

// Directory returns the live routers and the holders of slots. Wrong results of
// Routers or Holder only cost a message. Held must be correct.
type Directory interface {
	// Routers returns the live routers, including this process.
	Routers() []Router
	// Holder returns the address of the holder of a slot, or "" if it is
	// unknown.
	Holder(slot int) string
	// Held returns the slots that this process may use now.
	Held() []HeldSlot
}

// Config returns the limits in force.
type Config interface {
	// Limit returns a customer's limit, and false if it has none.
	Limit(customer CustomerID) (Limit, bool)
	// Revision increases with each change of the limits or of the number of
	// slots.
	Revision() uint64
	// Customers returns the customers that have a limit.
	Customers() []CustomerID
	// Slots returns the number of slots among which shares are distributed (see
	// SlotsOf).
	Slots() int
	// IsFresh reports whether the configuration can be relied on. Nothing is lent
	// while it is stale.
	IsFresh() bool
}
