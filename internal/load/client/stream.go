package client

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"
)

const (
	maxLineBytes  = 1 << 20
	maxErrorBytes = 64 << 10
)

var (
	dataPrefix = []byte("data: ")
	doneMark   = []byte("[DONE]")
)

// chunk is what a caller reads of a server-sent event.
type chunk struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens     int64 `json:"prompt_tokens"`
		CompletionTokens int64 `json:"completion_tokens"`
		Details          struct {
			CachedTokens int64 `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
	Error *errorDetail `json:"error"`
}

type errorDetail struct {
	Code    string      `json:"code"`
	Message string      `json:"message"`
	Step    string      `json:"step"`
	Run     ReportedRun `json:"run"`
}

// reader reads one streamed answer into a result.
type reader struct {
	result *PromptResult
	now    func() time.Duration
	text   []byte
}

// read reads the stream to its end.
func (r *reader) read(body io.Reader) {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4<<10), maxLineBytes)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), dataPrefix)
		if !ok {
			continue
		}
		if bytes.Equal(data, doneMark) {
			r.result.Outcome = Complete
			r.result.ReportedRun = ReportedRan
			return
		}
		if !r.take(data) {
			return
		}
	}
	r.result.Outcome = Truncated
	r.result.ReportedRun = ReportedUnknown
	if err := lines.Err(); err != nil {
		r.result.Detail = err.Error()
	}
}

// take handles one event and reports whether the stream goes on.
func (r *reader) take(data []byte) bool {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		r.result.Outcome = Truncated
		r.result.Detail = err.Error()
		return false
	}
	if c.Error != nil {
		r.result.Outcome = Failed
		r.result.setError(c.Error)
		return false
	}
	if c.Usage != nil {
		r.result.PromptTokens = c.Usage.PromptTokens
		r.result.CompletionTokens = c.Usage.CompletionTokens
		r.result.CachedTokens = c.Usage.Details.CachedTokens
	}
	for _, choice := range c.Choices {
		r.add(choice.Text)
	}
	return true
}

func (r *reader) add(text string) {
	if text == "" {
		return
	}
	if r.result.Events == 0 {
		r.result.FirstByte = r.now()
	}
	r.result.Events++
	r.text = append(r.text, text...)
}

func (r *PromptResult) setError(e *errorDetail) {
	r.Code = e.Code
	r.ReportedRun = e.Run
	r.Detail = e.Step + ": " + e.Message
}

// readError reads an error answer.
func readError(response *http.Response) (*errorDetail, error) {
	var body struct {
		Error *errorDetail `json:"error"`
	}
	err := json.NewDecoder(io.LimitReader(response.Body, maxErrorBytes)).Decode(&body)
	if err != nil {
		return nil, err
	}
	if body.Error == nil {
		return nil, errors.New("error answer without an error")
	}
	return body.Error, nil
}
