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
	doneMarker = []byte("[DONE]")
)

// streamEvent holds the fields that a caller reads from a server-sent event.
type streamEvent struct {
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
	Error *apiError `json:"error"`
}

// apiError is the error object of a refusal or of an error event.
type apiError struct {
	Code    string      `json:"code"`
	Message string      `json:"message"`
	Step    string      `json:"step"`
	Run     ReportedRun `json:"run"`
}

// streamReader reads one streamed answer into a result. runTime returns the time of
// the run at which the caller receives what is read now.
type streamReader struct {
	result  *PromptResult
	runTime func() time.Duration
	text    []byte
}

// readAll reads the stream up to its [DONE] marker, an error or its end, and sets
// the outcome.
func (r *streamReader) readAll(body io.Reader) {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4<<10), maxLineBytes)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), dataPrefix)
		if !ok {
			continue
		}
		if bytes.Equal(data, doneMarker) {
			r.result.Outcome = Complete
			r.result.ReportedRun = ReportedRan
			return
		}
		if !r.handleEvent(data) {
			return
		}
	}
	r.result.Outcome = Truncated
	r.result.ReportedRun = ReportedUnknown
	if err := lines.Err(); err != nil {
		r.result.Detail = err.Error()
	}
}

// handleEvent applies the data of one event to the result. It reports whether
// reading goes on.
func (r *streamReader) handleEvent(data []byte) bool {
	var event streamEvent
	if err := json.Unmarshal(data, &event); err != nil {
		r.result.Outcome = Truncated
		r.result.Detail = err.Error()
		return false
	}
	if event.Error != nil {
		r.result.Outcome = Failed
		r.result.setError(event.Error)
		return false
	}
	if event.Usage != nil {
		r.result.PromptTokens = event.Usage.PromptTokens
		r.result.CompletionTokens = event.Usage.CompletionTokens
		r.result.CachedTokens = event.Usage.Details.CachedTokens
	}
	for _, choice := range event.Choices {
		r.appendText(choice.Text)
	}
	return true
}

// appendText appends received text and records the time of the first one.
func (r *streamReader) appendText(text string) {
	if text == "" {
		return
	}
	if r.result.Events == 0 {
		r.result.FirstText = r.runTime()
	}
	r.result.Events++
	r.text = append(r.text, text...)
}

func (r *PromptResult) setError(e *apiError) {
	r.Code = e.Code
	r.ReportedRun = e.Run
	r.Detail = e.Step + ": " + e.Message
}

// readError returns the error object of a refusal. It fails if the body is not JSON
// or has no error object.
func readError(response *http.Response) (*apiError, error) {
	var body struct {
		Error *apiError `json:"error"`
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
