package wire

// Limits bound what all peers of a Server together may hold.
type Limits struct {
	// Sessions is the number of open connections, with those whose Hello has not arrived.
	Sessions int
	// ReceivedBytes bounds the memory of accepted streams and of what they have received and their
	// handlers have not taken, in bytes.
	ReceivedBytes int64
}

// DefaultLimits returns the limits of a Server unless SetLimits is called.
func DefaultLimits() Limits { return Limits{Sessions: 4096, ReceivedBytes: 256 << 20} }

const (
	// maxHelloBytes is the size of the largest Hello that is accepted.
	maxHelloBytes = 4 << 10
	// streamBytes is the memory of an accepted stream: its goroutine and its buffers.
	streamBytes = 16 << 10
)
