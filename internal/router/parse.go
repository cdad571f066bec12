package router

import (
	"errors"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/bytedance/sonic"
	"github.com/gin-gonic/gin"
	"github.com/greengagegate/greengagegate/internal/bodymem"
	"github.com/greengagegate/greengagegate/internal/intake"
)

// decoder decodes JSON with the same behavior as encoding/json.
var decoder = sonic.ConfigStd

// promptRequest is a parsed completion or chat completion request.
type promptRequest struct {
	Model        string
	Prompt       []byte
	MaxTokens    int64
	Stream       bool
	IncludeUsage bool
	Chat         bool
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// completionBody is the body of a completion request.
type completionBody struct {
	Model         string        `json:"model"`
	Prompt        promptText    `json:"prompt"`
	MaxTokens     *int64        `json:"max_tokens"`
	Stream        bool          `json:"stream"`
	StreamOptions streamOptions `json:"stream_options"`
}

type chatMessage struct {
	Role    string      `json:"role"`
	Content contentText `json:"content"`
}

// chatBody is the body of a chat completion request.
type chatBody struct {
	Model               string        `json:"model"`
	Messages            []chatMessage `json:"messages"`
	MaxTokens           *int64        `json:"max_tokens"`
	MaxCompletionTokens *int64        `json:"max_completion_tokens"`
	Stream              bool          `json:"stream"`
	StreamOptions       streamOptions `json:"stream_options"`
}

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// parser parses and validates the body of a completion or chat completion request.
type parser func(body []byte) (*promptRequest, error)

func parseCompletion(body []byte) (*promptRequest, error) {
	var parsed completionBody
	if err := decoder.Unmarshal(body, &parsed); err != nil {
		return nil, err
	}
	request := &promptRequest{
		Model: parsed.Model, Prompt: []byte(parsed.Prompt),
		Stream: parsed.Stream, IncludeUsage: parsed.StreamOptions.IncludeUsage,
	}
	return request, request.validateAndSetMaxTokens(parsed.MaxTokens)
}

// promptText is a prompt given as a string or as a list with one string.
type promptText string

// UnmarshalJSON implements json.Unmarshaler.
func (p *promptText) UnmarshalJSON(raw []byte) error {
	if isJSONString(raw) {
		return decoder.Unmarshal(raw, (*string)(p))
	}
	var list []string
	if err := decoder.Unmarshal(raw, &list); err != nil || len(list) != 1 {
		return errors.New("prompt must be one string")
	}
	*p = promptText(list[0])
	return nil
}

// contentText is the content of a message given as a string or as a list of text
// parts.
type contentText string

// UnmarshalJSON implements json.Unmarshaler.
func (t *contentText) UnmarshalJSON(raw []byte) error {
	if isJSONString(raw) {
		return decoder.Unmarshal(raw, (*string)(t))
	}
	var parts []contentPart
	if err := decoder.Unmarshal(raw, &parts); err != nil {
		return errors.New("content must be a string or a list of text parts")
	}
	var b strings.Builder
	for _, part := range parts {
		if part.Type != "text" {
			return errors.New("only text parts are supported, got " + part.Type)
		}
		b.WriteString(part.Text)
	}
	*t = contentText(b.String())
	return nil
}

// isJSONString reports whether raw, a valid JSON value, is a string.
func isJSONString(raw []byte) bool { return len(raw) > 0 && raw[0] == '"' }

func parseChat(body []byte) (*promptRequest, error) {
	var parsed chatBody
	if err := decoder.Unmarshal(body, &parsed); err != nil {
		return nil, err
	}
	prompt, err := chatPrompt(parsed.Messages)
	if err != nil {
		return nil, err
	}
	request := &promptRequest{
		Model: parsed.Model, Prompt: prompt, Chat: true,
		Stream: parsed.Stream, IncludeUsage: parsed.StreamOptions.IncludeUsage,
	}
	limit := parsed.MaxCompletionTokens
	if limit == nil {
		limit = parsed.MaxTokens
	}
	return request, request.validateAndSetMaxTokens(limit)
}

// chatPrompt joins the messages into one prompt. Each message consists of its role
// and its content, on separate lines.
func chatPrompt(messages []chatMessage) ([]byte, error) {
	if len(messages) == 0 {
		return nil, errors.New("messages must not be empty")
	}
	var b strings.Builder
	for _, message := range messages {
		b.WriteString(message.Role)
		b.WriteByte('\n')
		b.WriteString(string(message.Content))
		b.WriteByte('\n')
	}
	return []byte(b.String()), nil
}

// validateAndSetMaxTokens checks the model, the prompt and the limit, and sets
// MaxTokens. If limit is nil, MaxTokens stays 0.
func (p *promptRequest) validateAndSetMaxTokens(limit *int64) error {
	if p.Model == "" {
		return errors.New("model is missing")
	}
	if len(p.Prompt) == 0 {
		return errors.New("prompt is empty")
	}
	if limit == nil {
		return nil
	}
	if *limit < 1 {
		return errors.New("max_tokens must be at least 1")
	}
	p.MaxTokens = *limit
	return nil
}

// bodyCopies is the number of times that a body is in memory at once: as it was received, parsed, in
// the message for an agent, and encoded.
const bodyCopies = 4

// memoryRetryAfter is the time after which memory for a body is likely to be free.
const memoryRetryAfter = time.Second

// readBody reads the whole request body. It fails if the body is larger than
// MaxBodyBytes, takes longer than BodyTimeout or would take more memory than is left. The
// memory counts as held until the request ends.
func (s *Server) readBody(c *gin.Context) ([]byte, *apiError) {
	const step = "read body"
	limits := s.options.Limits
	if c.Request.ContentLength > limits.MaxBodyBytes {
		return nil, newRefusal(http.StatusRequestEntityTooLarge, "body_too_large", step, "the body is too large")
	}
	control := http.NewResponseController(c.Writer)
	_ = control.SetReadDeadline(time.Now().Add(limits.BodyTimeout))
	connection := intake.FromContext(c.Request.Context())
	connection.BeginBody()
	hold := s.holdBody(c)
	hold.OnRead = connection.HoldBody
	body, err := hold.ReadAll(c.Request.Body, limits.MaxBodyBytes, bodyCopies)
	if !connection.EndBody() {
		// The connection was closed for others while the body was read.
		err = bodymem.ErrMemory
	}
	if err == nil {
		_ = control.SetReadDeadline(time.Time{})
		return body, nil
	}
	// The rest of the body is not read: the connection ends with the response.
	c.Header("Connection", "close")
	switch {
	case errors.Is(err, bodymem.ErrTooLarge):
		return nil, newRefusal(http.StatusRequestEntityTooLarge, "body_too_large", step, "the body is too large")
	case errors.Is(err, bodymem.ErrMemory):
		failure := newRefusal(http.StatusServiceUnavailable, "memory", step, "the router has no memory for the body")
		failure.RetryAfter = memoryRetryAfter
		return nil, failure
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, newRefusal(http.StatusRequestTimeout, "body_timeout", step, "the body arrived too slowly")
	default:
		return nil, newRefusal(http.StatusBadRequest, "body_unreadable", step, "the body could not be read")
	}
}

// bodyContextKey is the key of the request's bodymem.Hold in the gin context.
const bodyContextKey = "body"

// holdBody returns the hold for the request's body.
func (s *Server) holdBody(c *gin.Context) *bodymem.Hold {
	hold := s.bodies.NewHold()
	c.Set(bodyContextKey, hold)
	return hold
}

// releaseBody gives back the memory of the request's body, if it was read.
func releaseBody(c *gin.Context) {
	if value, ok := c.Get(bodyContextKey); ok {
		value.(*bodymem.Hold).Release()
	}
}
