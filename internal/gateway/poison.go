package gateway

import (
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/greengagegate/greengagegate/internal/poison"
)

// poisonKeys returns the keys of the contents of the request, from the widest shared to the
// narrowest: its body, which its caller may send again with other parts, the parts of its
// prompt that other requests may have, and the request as a whole. The body comes first,
// because bodies that do not describe the prompt may be equal in many requests.
func (j *job) poisonKeys() []poison.Key {
	if j.contentKeys != nil {
		return j.contentKeys
	}
	shared := j.call.Parts[:max(0, len(j.call.Parts)-1)]
	keys := make([]poison.Key, 0, len(shared)+2)
	if len(j.call.Parts) > 0 && j.body != nil && j.body.length > 0 {
		keys = append(keys, "body:"+j.digest(nil))
	}
	for _, part := range shared {
		keys = append(keys, poison.Key("part:"+part.ID))
	}
	j.contentKeys = append(keys, "request:"+j.digest(partIDs(j.call.Parts)))
	return j.contentKeys
}

// digest returns a digest of the caller's customer, the method, the target, the body and
// further fields.
func (j *job) digest(further []string) poison.Key {
	digest := xxhash.New()
	fields := []string{j.r.Method, j.r.Host, j.r.RequestURI}
	if j.customer != nil {
		fields = append(fields, j.customer.Name)
	}
	fields = append(fields, further...)
	for _, field := range fields {
		// Writes to a digest never fail.
		_, _ = digest.WriteString(field)
		_, _ = digest.Write([]byte{0})
	}
	for _, chunk := range j.bodyChunks() {
		_, _ = digest.Write(chunk)
	}
	return poison.Key(strconv.FormatUint(digest.Sum64(), 16))
}

// checkConviction returns a refusal if a content of the request is convicted of crashing
// upstreams, so that the request must not be sent.
func (j *job) checkConviction() *refusal {
	tracker := j.gateway.Poison
	if tracker.IsIdle() {
		return nil
	}
	key, remaining := tracker.Convicted(j.poisonKeys())
	if key == "" {
		return nil
	}
	j.outcome.convictedKey = key
	if j.possibleRuns > 0 {
		return failedAnswerLost
	}
	return &refusal{http.StatusServiceUnavailable, "quarantined", remaining}
}

// recordCompletion records that the upstream of a send completed the request, which shows
// that its contents crash nothing. After a trial the other gateways learn of it at once,
// since they hold back copies.
func (j *job) recordCompletion(s *send) {
	s.attempt.RecordSuccess()
	if tracker := j.gateway.Poison; !tracker.IsIdle() {
		tracker.RecordCompletion(j.poisonKeys(), s.startedAt)
		if j.onTrial {
			j.gateway.Announce()
		}
	}
}
