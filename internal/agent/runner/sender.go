package runner

import (
	"github.com/greengagegate/greengagegate/internal/engine"
	"github.com/greengagegate/greengagegate/internal/wire"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
)

// maxBatchBytes bounds the text that is gathered in one frame.
const maxBatchBytes = 4 << 10

// sender passes an engine's events to the router. Tokens that have arrived
// together go in one frame. All but the first tokens and the end may wait a
// moment for frames of other streams.
type sender struct {
	stream *wire.Stream
	tokens *wirepb.RunTokens
	event  *wirepb.RunEvent
	// begun says that the first tokens have been sent.
	begun bool
}

func newSender(stream *wire.Stream) *sender {
	tokens := new(wirepb.RunTokens)
	return &sender{
		stream: stream,
		tokens: tokens,
		event:  &wirepb.RunEvent{Event: &wirepb.RunEvent_Tokens{Tokens: tokens}},
	}
}

// send passes an event on. With more set another event has arrived already, and
// tokens may wait for it.
func (s *sender) send(event engine.RunEvent, more bool) error {
	if event.Type != engine.EventTokens || event.Offset != s.tokens.Offset+s.tokens.Count {
		if err := s.flush(); err != nil {
			return err
		}
	}
	switch event.Type {
	case engine.EventTokens:
		return s.sendTokens(event, more)
	case engine.EventStart:
		return s.stream.SendSoon(toWire(event))
	default:
		return s.stream.Send(toWire(event))
	}
}

// sendTokens gathers tokens and sends them when no more are known to come.
func (s *sender) sendTokens(event engine.RunEvent, more bool) error {
	if s.tokens.Count == 0 {
		s.tokens.Offset = event.Offset
	}
	s.tokens.Count += event.Count
	s.tokens.Text = append(s.tokens.Text, event.Text...)
	if more && len(s.tokens.Text) < maxBatchBytes {
		return nil
	}
	return s.flush()
}

// flush sends the tokens gathered.
func (s *sender) flush() error {
	if s.tokens.Count == 0 && len(s.tokens.Text) == 0 {
		return nil
	}
	send := s.stream.Send
	if s.begun {
		send = s.stream.SendSoon
	}
	err := send(s.event)
	s.begun = true
	s.tokens.Count = 0
	s.tokens.Text = s.tokens.Text[:0]
	return err
}

// hasMore reports whether the run's next event can be read without waiting.
func hasMore(run engine.Run) bool {
	buffered, ok := run.(engine.Buffered)
	return ok && buffered.Buffered()
}

func toWire(event engine.RunEvent) *wirepb.RunEvent {
	switch event.Type {
	case engine.EventStart:
		return &wirepb.RunEvent{Event: &wirepb.RunEvent_Started{Started: &wirepb.RunStarted{
			PromptTokens: event.PromptTokens,
			CachedTokens: event.CachedTokens,
			Incarnation:  event.Incarnation,
		}}}
	case engine.EventTokens:
		return &wirepb.RunEvent{Event: &wirepb.RunEvent_Tokens{Tokens: &wirepb.RunTokens{
			Offset: event.Offset,
			Count:  event.Count,
			Text:   []byte(event.Text),
		}}}
	default:
		return &wirepb.RunEvent{Event: &wirepb.RunEvent_End{End: &wirepb.RunEnd{
			FinishReason: event.FinishReason,
			Usage: &wirepb.Usage{
				PromptTokens:     event.PromptTokens,
				CachedTokens:     event.CachedTokens,
				CompletionTokens: event.CompletionTokens,
			},
		}}}
	}
}
