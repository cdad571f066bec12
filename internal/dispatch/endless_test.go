package dispatch

import (
	"bytes"
	"testing"

	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
)

// countingSink counts the tokens and bytes that a caller got.
type countingSink struct{ tokens, bytes int64 }

func (s *countingSink) Tokens(text []byte, count int64) error {
	s.tokens += count
	s.bytes += int64(len(text))
	return nil
}

// An upstream that sends tokens, or text that counts as none, without an end must not fill the
// router's memory, which keeps the text to resume the run elsewhere. No caller gets more tokens than
// it asked for.
func TestEndlessRunIsGivenUp(t *testing.T) {
	const maxTokens, maxEvents = 100, 100_000
	for name, event := range map[string]*wirepb.RunTokens{
		"tokens":              {Count: 1, Text: []byte("word ")},
		"text without tokens": {Text: bytes.Repeat([]byte("x"), 4<<10)},
	} {
		t.Run(name, func(t *testing.T) {
			sink := &countingSink{}
			run := &promptRun{request: &wirepb.RunRequest{MaxTokens: maxTokens}, sink: sink}
			var err error
			events := 0
			for ; err == nil && events < maxEvents; events++ {
				tokens := &wirepb.RunTokens{Offset: int64(events) * event.Count, Count: event.Count, Text: event.Text}
				_, err = run.apply(&wirepb.RunEvent{Event: &wirepb.RunEvent_Tokens{Tokens: tokens}}, false)
			}
			if err == nil || run.lastRefusal == nil {
				t.Fatalf("the run goes on after %d events of %d bytes", events, len(event.Text))
			}
			if sink.tokens > maxTokens || len(run.request.Generated) > maxTokens*maxTokenBytes {
				t.Errorf("the caller got %d tokens, %d bytes are kept", sink.tokens, len(run.request.Generated))
			}
		})
	}
}
