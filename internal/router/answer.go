package router

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/greengagegate/greengagegate/internal/dispatch"
	"github.com/greengagegate/greengagegate/internal/metrics"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
)

// answer writes the answer to one prompt.
type answer interface {
	dispatch.Sink
	// started reports whether bytes have gone to the caller.
	started() bool
	// finish writes the end of a complete answer.
	finish(end *wirepb.RunEnd) error
	// abort ends an answer that has started with an explicit error.
	abort(failure *apiError)
	// tokenCount is the number of tokens received so far.
	tokenCount() int64
}

type promptUsage struct {
	PromptTokens     int64              `json:"prompt_tokens"`
	CompletionTokens int64              `json:"completion_tokens"`
	TotalTokens      int64              `json:"total_tokens"`
	Details          promptUsageDetails `json:"prompt_tokens_details"`
}

type promptUsageDetails struct {
	CachedTokens int64 `json:"cached_tokens"`
}

type chatText struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type choice struct {
	Index        int       `json:"index"`
	Text         *string   `json:"text,omitempty"`
	Message      *chatText `json:"message,omitempty"`
	Delta        *chatText `json:"delta,omitempty"`
	FinishReason *string   `json:"finish_reason"`
}

type completion struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []choice     `json:"choices"`
	Usage   *promptUsage `json:"usage,omitempty"`
}

func newAnswer(c *gin.Context, request *promptRequest, writeTimeout time.Duration, arrived time.Time, customer string) answer {
	base := answerBase{c: c, request: request, arrived: arrived, customer: customer}
	if request.Stream {
		return &streamAnswer{answerBase: base, control: http.NewResponseController(c.Writer), writeTimeout: writeTimeout}
	}
	return &wholeAnswer{answerBase: base}
}

type answerBase struct {
	c        *gin.Context
	request  *promptRequest
	arrived  time.Time
	customer string
	count    int64
}

func (a *answerBase) tokenCount() int64 { return a.count }

// add counts tokens and records the time of the first ones.
func (a *answerBase) add(count int64) {
	if a.count == 0 {
		elapsed := time.Since(a.arrived).Microseconds()
		metrics.Histogram("router.ttft_us", "customer", a.customer).Update(elapsed)
	}
	a.count += count
}

func (a *answerBase) object(suffix string) string {
	if a.request.Chat {
		return "chat.completion" + suffix
	}
	return "text_completion"
}

func (a *answerBase) envelope(suffix string, choices []choice) completion {
	return completion{
		ID:      requestID(a.c),
		Object:  a.object(suffix),
		Created: a.arrived.Unix(),
		Model:   a.request.Model,
		Choices: choices,
	}
}

func usageOf(end *wirepb.RunEnd) *promptUsage {
	usage := end.GetUsage()
	return &promptUsage{
		PromptTokens:     usage.GetPromptTokens(),
		CompletionTokens: usage.GetCompletionTokens(),
		TotalTokens:      usage.GetPromptTokens() + usage.GetCompletionTokens(),
		Details:          promptUsageDetails{CachedTokens: usage.GetCachedTokens()},
	}
}

// wholeAnswer collects the text and answers with one JSON document.
type wholeAnswer struct {
	answerBase
	text []byte
}

// Tokens implements dispatch.Sink.
func (a *wholeAnswer) Tokens(text []byte, count int64) error {
	a.add(count)
	a.text = append(a.text, text...)
	return nil
}

func (a *wholeAnswer) started() bool { return false }

func (a *wholeAnswer) abort(*apiError) {}

func (a *wholeAnswer) finish(end *wirepb.RunEnd) error {
	text := string(a.text)
	reason := end.GetFinishReason()
	only := choice{FinishReason: &reason}
	if a.request.Chat {
		only.Message = &chatText{Role: "assistant", Content: text}
	} else {
		only.Text = &text
	}
	body := a.envelope("", []choice{only})
	body.Usage = usageOf(end)
	a.c.Header(HeaderRun, string(RunDone))
	a.c.JSON(http.StatusOK, body)
	return nil
}

// streamAnswer writes server-sent events, one for each group of tokens.
type streamAnswer struct {
	answerBase
	control      *http.ResponseController
	writeTimeout time.Duration
	prefix       []byte
	buffer       []byte
	open         bool
}

func (a *streamAnswer) started() bool { return a.open }

// Tokens implements dispatch.Sink. It blocks while the caller accepts no bytes.
func (a *streamAnswer) Tokens(text []byte, count int64) error {
	a.add(count)
	encoded, err := json.Marshal(string(text))
	if err != nil {
		return err
	}
	a.begin()
	a.buffer = append(a.buffer[:0], a.prefix...)
	a.buffer = append(a.buffer, encoded...)
	a.buffer = append(a.buffer, a.chunkSuffix()...)
	return a.write()
}

// begin writes the header and prepares the part that all chunks share.
func (a *streamAnswer) begin() {
	if a.open {
		return
	}
	a.open = true
	header := a.c.Writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	header.Set("X-Accel-Buffering", "no")
	a.c.Writer.WriteHeader(http.StatusOK)
	a.prefix = a.chunkPrefix()
}

// chunkPrefix is a chunk's JSON up to the text.
func (a *streamAnswer) chunkPrefix() []byte {
	head, err := json.Marshal(a.envelope(".chunk", nil))
	if err != nil {
		return nil
	}
	// The marshalled head ends in `"choices":null}`, which each chunk replaces.
	head = head[:len(head)-len(`null}`)]
	prefix := append([]byte("data: "), head...)
	if a.request.Chat {
		return append(prefix, `[{"index":0,"delta":{"content":`...)
	}
	return append(prefix, `[{"index":0,"text":`...)
}

func (a *streamAnswer) chunkSuffix() string {
	if a.request.Chat {
		return "},\"finish_reason\":null}]}\n\n"
	}
	return ",\"finish_reason\":null}]}\n\n"
}

func (a *streamAnswer) write() error {
	if err := a.control.SetWriteDeadline(time.Now().Add(a.writeTimeout)); err != nil {
		return err
	}
	if _, err := a.c.Writer.Write(a.buffer); err != nil {
		return err
	}
	return a.control.Flush()
}

func (a *streamAnswer) finish(end *wirepb.RunEnd) error {
	a.begin()
	reason := end.GetFinishReason()
	last := choice{FinishReason: &reason}
	empty := ""
	if a.request.Chat {
		last.Delta = &chatText{}
	} else {
		last.Text = &empty
	}
	body := a.envelope(".chunk", []choice{last})
	if a.request.IncludeUsage {
		body.Usage = usageOf(end)
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		return err
	}
	a.buffer = append(a.buffer[:0], "data: "...)
	a.buffer = append(a.buffer, encoded...)
	a.buffer = append(a.buffer, "\n\ndata: [DONE]\n\n"...)
	return a.write()
}

func (a *streamAnswer) abort(failure *apiError) {
	a.buffer = append(a.buffer[:0], "event: error\ndata: "...)
	a.buffer = append(a.buffer, failure.marshalEvent()...)
	a.buffer = append(a.buffer, "\n\n"...)
	_ = a.write()
}
