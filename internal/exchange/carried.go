package exchange

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// The ID of a response says which request it belongs to, but not which sending of that request: a
// late copy of an earlier answer bears the same ID. So a connection never carries two requests with
// the same ID. Copies of answers on other connections cannot arrive on it.

// maxCarried is the number of requests after which a connection is closed, which bounds the
// memory for their IDs.
const maxCarried = 512

// carried holds the IDs of the requests that a connection has carried, as hashes. A collision
// only costs a connection.
type carried struct{ hashes []uint64 }

// add adds the ID of a request. Requests without an ID are not added.
func (s *carried) add(id string) {
	if id != "" {
		s.hashes = append(s.hashes, xxhash.Sum64String(id))
	}
}

// has reports whether the connection has carried a request with this ID.
func (s *carried) has(id string) bool {
	return id != "" && slices.Contains(s.hashes, xxhash.Sum64String(id))
}

// isFull reports whether the connection must not carry further requests.
func (s *carried) isFull() bool { return len(s.hashes) >= maxCarried }
