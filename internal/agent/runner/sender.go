package runner

import (
	"github.com/greengagegate/greengagegate/internal/engine"
	"github.com/greengagegate/greengagegate/internal/wire"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
)

// maxBatchBytes bounds the text of one frame of tokens. A single event may exceed it.
const maxBatchBytes = 4 << 10

// sender sends an engine's events to the router. Tokens that have arrived together are
// sent in one frame. All frames but the first tokens and the end may be delayed
// briefly, to be written together with frames of other streams.
type sender struct {
	stream *wire.Stream
	tokens *wirepb.RunTokens
	event  *wirepb.RunEvent
	// sentFirst is true once the first tokens have been sent.
	sentFirst bool
}

func newSender(stream *wire.Stream) *sender {
	tokens := new(wirepb.RunTokens)
	return &sender{
		stream: stream,
		tokens: tokens,
		event:  &wirepb.RunEvent{Event: &wirepb.RunEvent_Tokens{Tokens: tokens}},
	}
}

// send sends an event. more is true when another event has already arrived; tokens
// are then held back to be sent with it, unless the batch has reached maxBatchBytes.
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
		return s.stream.SendCoalesced(toRunEvent(event))
	default:
		return s.stream.Send(toRunEvent(event))
	}
}

// sendTokens adds tokens to the batch and sends it when no further event has arrived
// or the batch is full.
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

// flush sends the batched tokens, if any.
func (s *sender) flush() error {
	if s.tokens.Count == 0 && len(s.tokens.Text) == 0 {
		return nil
	}
	send := s.stream.Send
	if s.sentFirst {
		send = s.stream.SendCoalesced
	}
	err := send(s.event)
	s.sentFirst = true
	s.tokens.Count = 0
	s.tokens.Text = s.tokens.Text[:0]
	return err
}

// hasMore reports whether the run's next event can be read without waiting.
func hasMore(run engine.Run) bool {
	buffered, ok := run.(engine.BufferedRun)
	return ok && buffered.Buffered()
}

func toRunEvent(event engine.RunEvent) *wirepb.RunEvent {
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
