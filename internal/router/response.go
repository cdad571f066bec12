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

// promptResponse writes the response to one prompt to the caller.
type promptResponse interface {
	dispatch.Sink
	// hasStarted reports whether a part of the response may have been written to
	// the caller.
	hasStarted() bool
	// finish writes the end of a complete response.
	finish(end *wirepb.RunEnd) error
	// abort ends a response that has started by writing an error event.
	abort(failure *apiError)
	// tokenCount returns the number of tokens received so far.
	tokenCount() int64
}

// promptUsage is the token usage in a response body.
type promptUsage struct {
	PromptTokens     int64              `json:"prompt_tokens"`
	CompletionTokens int64              `json:"completion_tokens"`
	TotalTokens      int64              `json:"total_tokens"`
	Details          promptUsageDetails `json:"prompt_tokens_details"`
}

type promptUsageDetails struct {
	CachedTokens int64 `json:"cached_tokens"`
}

// responseMessage is the message of a chat completion, or its part in one event.
type responseMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type choice struct {
	Index        int              `json:"index"`
	Text         *string          `json:"text,omitempty"`
	Message      *responseMessage `json:"message,omitempty"`
	Delta        *responseMessage `json:"delta,omitempty"`
	FinishReason *string          `json:"finish_reason"`
}

// completion is the body of a response, or the data of one event of a stream.
type completion struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []choice     `json:"choices"`
	Usage   *promptUsage `json:"usage,omitempty"`
}

// newPromptResponse returns the response in the form that the request specifies:
// one JSON document or a stream.
func newPromptResponse(c *gin.Context, request *promptRequest, writeTimeout time.Duration, arrived time.Time, customer string) promptResponse {
	base := responseBase{c: c, request: request, arrived: arrived, customer: customer}
	if request.Stream {
		return &streamedResponse{responseBase: base, controller: http.NewResponseController(c.Writer), writeTimeout: writeTimeout}
	}
	return &bufferedResponse{responseBase: base}
}

// responseBase holds what both forms of response have in common.
type responseBase struct {
	c        *gin.Context
	request  *promptRequest
	arrived  time.Time
	customer string
	// tokens is the number of tokens received so far.
	tokens int64
}

func (r *responseBase) tokenCount() int64 { return r.tokens }

// recordTokens adds to the number of tokens received. For the first tokens it also
// records the time since the arrival of the request.
func (r *responseBase) recordTokens(count int64) {
	if r.tokens == 0 {
		elapsed := time.Since(r.arrived).Microseconds()
		metrics.BoundedHistogram("router.ttft_us", "customer", r.customer).Update(elapsed)
	}
	r.tokens += count
}

// objectType returns the value of the field "object". Only that of chat completions
// has the suffix.
func (r *responseBase) objectType(suffix string) string {
	if r.request.Chat {
		return "chat.completion" + suffix
	}
	return "text_completion"
}

// newCompletion returns a completion with the fields that all bodies and events of
// the response have in common.
func (r *responseBase) newCompletion(suffix string, choices []choice) completion {
	return completion{
		ID:      requestID(r.c),
		Object:  r.objectType(suffix),
		Created: r.arrived.Unix(),
		Model:   r.request.Model,
		Choices: choices,
	}
}

// usageFrom returns the usage that the engine reported.
func usageFrom(end *wirepb.RunEnd) *promptUsage {
	usage := end.GetUsage()
	return &promptUsage{
		PromptTokens:     usage.GetPromptTokens(),
		CompletionTokens: usage.GetCompletionTokens(),
		TotalTokens:      usage.GetPromptTokens() + usage.GetCompletionTokens(),
		Details:          promptUsageDetails{CachedTokens: usage.GetCachedTokens()},
	}
}

// bufferedResponse collects the text and writes one JSON document at the end.
type bufferedResponse struct {
	responseBase
	text []byte
}

// Tokens implements dispatch.Sink.
func (r *bufferedResponse) Tokens(text []byte, count int64) error {
	r.recordTokens(count)
	r.text = append(r.text, text...)
	return nil
}

func (r *bufferedResponse) hasStarted() bool { return false }

// abort does nothing: hasStarted is always false, so errors are written as error
// responses.
func (r *bufferedResponse) abort(*apiError) {}

func (r *bufferedResponse) finish(end *wirepb.RunEnd) error {
	text := string(r.text)
	reason := end.GetFinishReason()
	result := choice{FinishReason: &reason}
	if r.request.Chat {
		result.Message = &responseMessage{Role: "assistant", Content: text}
	} else {
		result.Text = &text
	}
	body := r.newCompletion("", []choice{result})
	body.Usage = usageFrom(end)
	r.c.Header(HeaderRun, string(RunStateRan))
	r.c.JSON(http.StatusOK, body)
	return nil
}

// streamedResponse writes server-sent events, one for each call of Tokens.
type streamedResponse struct {
	responseBase
	controller *http.ResponseController
	// writeTimeout bounds the time to write one event.
	writeTimeout time.Duration
	// prefix is the beginning of each token event, up to the text.
	prefix []byte
	// buffer holds the event that is written next. All events reuse it.
	buffer        []byte
	headerWritten bool
}

func (r *streamedResponse) hasStarted() bool { return r.headerWritten }

// Tokens implements dispatch.Sink. It blocks while the caller accepts no bytes, for
// at most writeTimeout.
func (r *streamedResponse) Tokens(text []byte, count int64) error {
	r.recordTokens(count)
	encoded, err := json.Marshal(string(text))
	if err != nil {
		return err
	}
	r.writeHeader()
	r.buffer = append(r.buffer[:0], r.prefix...)
	r.buffer = append(r.buffer, encoded...)
	r.buffer = append(r.buffer, r.chunkSuffix()...)
	return r.flushBuffer()
}

// writeHeader writes the response header and prepares prefix. Calls after the first
// have no effect.
func (r *streamedResponse) writeHeader() {
	if r.headerWritten {
		return
	}
	r.headerWritten = true
	header := r.c.Writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	header.Set("X-Accel-Buffering", "no")
	r.c.Writer.WriteHeader(http.StatusOK)
	r.prefix = r.chunkPrefix()
}

// chunkPrefix returns the beginning of a token event, up to the text.
func (r *streamedResponse) chunkPrefix() []byte {
	encoded, err := json.Marshal(r.newCompletion(".chunk", nil))
	if err != nil {
		return nil
	}
	// The JSON ends in `"choices":null}`. Each event replaces null with its choices.
	encoded = encoded[:len(encoded)-len(`null}`)]
	prefix := append([]byte("data: "), encoded...)
	if r.request.Chat {
		return append(prefix, `[{"index":0,"delta":{"content":`...)
	}
	return append(prefix, `[{"index":0,"text":`...)
}

// chunkSuffix returns the end of a token event, after the text.
func (r *streamedResponse) chunkSuffix() string {
	if r.request.Chat {
		return "},\"finish_reason\":null}]}\n\n"
	}
	return ",\"finish_reason\":null}]}\n\n"
}

// flushBuffer writes buffer to the caller and flushes the connection.
func (r *streamedResponse) flushBuffer() error {
	if err := r.controller.SetWriteDeadline(time.Now().Add(r.writeTimeout)); err != nil {
		return err
	}
	if _, err := r.c.Writer.Write(r.buffer); err != nil {
		return err
	}
	return r.controller.Flush()
}

func (r *streamedResponse) finish(end *wirepb.RunEnd) error {
	r.writeHeader()
	reason := end.GetFinishReason()
	lastChoice := choice{FinishReason: &reason}
	empty := ""
	if r.request.Chat {
		lastChoice.Delta = &responseMessage{}
	} else {
		lastChoice.Text = &empty
	}
	body := r.newCompletion(".chunk", []choice{lastChoice})
	if r.request.IncludeUsage {
		body.Usage = usageFrom(end)
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		return err
	}
	r.buffer = append(r.buffer[:0], "data: "...)
	r.buffer = append(r.buffer, encoded...)
	r.buffer = append(r.buffer, "\n\ndata: [DONE]\n\n"...)
	return r.flushBuffer()
}

func (r *streamedResponse) abort(failure *apiError) {
	r.buffer = append(r.buffer[:0], "event: error\ndata: "...)
	r.buffer = append(r.buffer, failure.marshalEvent()...)
	r.buffer = append(r.buffer, "\n\n"...)
	_ = r.flushBuffer()
}
