package rollout

import (
	"github.com/cespare/xxhash/v2"

	"github.com/greengagegate/greengagegate/internal/rendezvous"
)

const (
	// splitSeed makes the split between versions independent of the split between pools,
	// which hashes the same IDs without a seed.
	splitSeed = 0x726f6c6c6f7574
	// maxCanaryLoad is the highest load of a canary, as a multiple of that of an upstream of
	// the other versions, at which no further canary is used.
	maxCanaryLoad = 1.25
)

// ToTarget reports whether the stream or request with this ID goes to the target version. A
// part of all IDs that is as large as share does, and an ID that does at one share also does
// at every larger one.
func ToTarget(streamID string, share float64) bool {
	var digest xxhash.Digest
	digest.ResetWithSeed(splitSeed)
	_, _ = digest.WriteString(streamID)
	const fractionBits = 53
	return float64(digest.Sum64()>>(64-fractionBits))/(1<<fractionBits) < share
}

// Canaries returns the k upstreams of ids that take the target's requests. They are the same
// at all gateways, and the k upstreams of a smaller k are among those of a larger one.
func Canaries(order string, ids []string, k int) []string {
	return rendezvous.Top(order, ids, k)
}

// CanaryCount returns how many of the target's upstreams take its share of the requests, so
// that each gets about the load of one upstream of the others or slightly more: faults that
// only show under load must show at a canary. It is at least 1 and at most targets.
func CanaryCount(share float64, others, targets int) int {
	if share >= 1 || others <= 0 {
		return max(targets, 1)
	}
	wanted := share / (1 - share) * float64(others)
	if wanted >= float64(targets) {
		return max(targets, 1)
	}
	count := max(int(wanted), 1)
	if wanted > maxCanaryLoad*float64(count) {
		count++
	}
	return max(min(count, targets), 1)
}
