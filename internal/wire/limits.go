package wire

// Limits bound what all peers of a Server together may hold.
type Limits struct {
	// Sessions is the number of open connections, with those whose Hello has not arrived.
	Sessions int
}

// DefaultLimits returns the limits of a Server unless SetLimits is called.
func DefaultLimits() Limits { return Limits{Sessions: 4096} }

// maxHelloBytes is the size of the largest Hello that is accepted.
const maxHelloBytes = 4 << 10
