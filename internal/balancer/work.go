package balancer

import (
	"fmt"

	"github.com/greengagegate/greengagegate/internal/catalog"
)

// Part is a piece of a prompt that requests may share.
type Part struct {
	ID     string
	Tokens int64
}

// Request describes a request to the choice.
type Request struct {
	Model string
	// Salt names what cached parts belong to; it differs by weights and by isolated customer.
	Salt func(version int64) string
	// Parts are the prompt's parts in order; the last one belongs to the request alone.
	Parts []Part
	// TargetVersion is the version of the weights that the model is to have; 0 when none was named.
	TargetVersion int64
	// MinVersion excludes upstreams with older weights than this version.
	MinVersion int64
	// MinVersionAssumed says that the floor may be too high. It is then left out when
	// no upstream has such weights.
	MinVersionAssumed bool
	// PromptTokens is the number of prompt tokens.
	PromptTokens int64
	// CacheTokens is the memory of an engine of the pool.
	CacheTokens int64
	// MaxConnections is what one upstream accepts from all gateways together; 0 means
	// no bound.
	MaxConnections int
	// Tried are the upstreams that are not to be asked again.
	Tried []string
}

// shared returns the parts that other requests may share; the last part is the
// request's own.
func (r *Request) shared() []Part { return r.Parts[:max(0, len(r.Parts)-1)] }

// tokensOf returns the number of tokens of some parts.
func tokensOf(parts []Part) int64 {
	tokens := int64(0)
	for _, part := range parts {
		tokens += part.Tokens
	}
	return tokens
}

// Choice is an upstream with what was decided on.
type Choice struct {
	Upstream *catalog.Upstream
	// Version is the weights version that the upstream is believed to have.
	Version int64
	// MissingTokens is the number of prompt tokens that the upstream is expected to read.
	MissingTokens int64
	// ExpectedWaitMS is the expected wait in milliseconds.
	ExpectedWaitMS float64
	// Usable is the number of upstreams that could have been chosen, Excluded counts
	// the others by reason.
	Usable   int
	Excluded Excluded
	// CopySource is the address from which the choice can copy cached parts that it
	// lacks; empty when there is none.
	CopySource string
	// CopyTokens is the number of tokens that are expected to be copied.
	CopyTokens int64
	// PossibleCopyTokens is the number of tokens that may be copied beside those.
	PossibleCopyTokens int64
	// SaveStore is the address of the store that the parts should be saved in; empty
	// when it has them.
	SaveStore string
}

// Excluded counts upstreams that can't take a request.
type Excluded struct {
	// Draining upstreams leave, Ended ones have another life at their address, Down
	// ones could not be reached, Resting ones refused a request, Held ones are about
	// to load weights, Old ones have weights that may not be used any more, Tried ones
	// were asked before, and Full ones have this gateway's part of their connections.
	Draining, Ended, Down, Resting, Held, Old, Tried, Full int
}

// String returns the counts for logs.
func (e Excluded) String() string {
	return fmt.Sprintf("draining=%d ended=%d down=%d resting=%d held=%d old=%d tried=%d full=%d",
		e.Draining, e.Ended, e.Down, e.Resting, e.Held, e.Old, e.Tried, e.Full)
}
