package router

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/bytedance/sonic"
	"github.com/gin-gonic/gin"
)

// decoder parses bodies by the rules of encoding/json.
var decoder = sonic.ConfigStd

// promptRequest is a parsed prompt, of either form of the callers' interface.
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

// parser reads one form of prompt request.
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
	return request, request.setMaxTokens(parsed.MaxTokens)
}

// promptText is a string, or a list that holds one string.
type promptText string

// UnmarshalJSON implements json.Unmarshaler.
func (p *promptText) UnmarshalJSON(raw []byte) error {
	if isString(raw) {
		return decoder.Unmarshal(raw, (*string)(p))
	}
	var list []string
	if err := decoder.Unmarshal(raw, &list); err != nil || len(list) != 1 {
		return errors.New("prompt must be one string")
	}
	*p = promptText(list[0])
	return nil
}

// contentText is a string, or a list of text parts.
type contentText string

// UnmarshalJSON implements json.Unmarshaler.
func (t *contentText) UnmarshalJSON(raw []byte) error {
	if isString(raw) {
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

func isString(raw []byte) bool { return len(raw) > 0 && raw[0] == '"' }

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
	return request, request.setMaxTokens(limit)
}

// chatPrompt joins the messages, each behind its role.
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

func (p *promptRequest) setMaxTokens(limit *int64) error {
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

// readBody reads a whole request body within the limits of size and time.
func (s *Server) readBody(c *gin.Context) ([]byte, *apiError) {
	const step = "read body"
	limits := s.options.Limits
	if c.Request.ContentLength > limits.MaxBodyBytes {
		return nil, refuse(http.StatusRequestEntityTooLarge, "body_too_large", step, "the body is too large")
	}
	control := http.NewResponseController(c.Writer)
	_ = control.SetReadDeadline(time.Now().Add(limits.BodyTimeout))
	body, err := readAll(http.MaxBytesReader(c.Writer, c.Request.Body, limits.MaxBodyBytes), c.Request.ContentLength)
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &tooLarge):
		return nil, refuse(http.StatusRequestEntityTooLarge, "body_too_large", step, "the body is too large")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, refuse(http.StatusRequestTimeout, "body_timeout", step, "the body arrived too slowly")
	default:
		return nil, refuse(http.StatusBadRequest, "body_unreadable", step, "the body could not be read")
	}
}

// maxPresizedBytes bounds the memory that a caller can claim by announcing a length.
const maxPresizedBytes = 256 << 10

// readAll reads to the end into a buffer that is sized by the announced length,
// if any, up to a bound.
func readAll(r io.Reader, announced int64) ([]byte, error) {
	var buffer bytes.Buffer
	if announced > 0 {
		buffer.Grow(int(min(announced, maxPresizedBytes)) + bytes.MinRead)
	}
	_, err := buffer.ReadFrom(r)
	return buffer.Bytes(), err
}
