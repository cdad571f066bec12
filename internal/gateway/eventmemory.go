package gateway

import "github.com/greengagegate/greengagegate/internal/eventstream"

// openEvents begins to read the response of a send as a stream of events. The memory of a
// large event counts as buffered until the next one or the end of the send. Reading fails
// with errBodyMemory if an event would take more memory than it leaves free.
func (j *job) openEvents(s *send) {
	g := j.gateway
	held := int64(0)
	s.events = eventstream.NewReader(s.response.Body)
	s.events.Reserve = func(bytes int) error {
		held += int64(bytes)
		free := g.Bounds.MaxBufferedBytes - g.buffered.Add(int64(bytes))
		if held > free {
			return errBodyMemory
		}
		return nil
	}
}
