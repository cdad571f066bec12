package lease

import "github.com/greengagegate/greengagegate/store"

// Basis is the stored record that a process took the lease over from.
type Basis string

// Bases.
const (
	// BasisNoRecord means that there was no record.
	BasisNoRecord Basis = "no-record"
	// BasisRestored means that a restore of the store may have lost the last record.
	BasisRestored Basis = "restored"
	// BasisOtherHolder means that the record was of another holder.
	BasisOtherHolder Basis = "other-holder"
	// BasisFormerProcess means that the record was of a process with the same holder name
	// that no longer runs.
	BasisFormerProcess Basis = "former-process"
	// BasisHeldBefore means that this process had held the lease by this record.
	BasisHeldBefore Basis = "held-before"
	// BasisUnansweredWrite means that this process had written the record without getting
	// the reply.
	BasisUnansweredWrite Basis = "unanswered-write"
)

// basisOf returns the basis of a takeover from a record. It must be called with mu held,
// before the takeover is recorded.
func (l *Lease) basisOf(previous *leaseRecord, version int64) Basis {
	switch {
	case version == store.VersionAbsent && l.seenEra == 0:
		return BasisNoRecord
	case version == store.VersionAbsent, !previous.isOfEra(version):
		return BasisRestored
	case previous.Holder != l.holder:
		return BasisOtherHolder
	case version == l.heldVersion:
		return BasisHeldBefore
	case previous.Incarnation != l.incarnation:
		return BasisFormerProcess
	default:
		return BasisUnansweredWrite
	}
}

// Basis returns the record that this process last took the lease over from, or "" if it
// never held it.
func (l *Lease) Basis() Basis {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.basis
}
