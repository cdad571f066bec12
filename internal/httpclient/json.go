package httpclient

import (
	"encoding/json"
	"errors"
	"io"
)

// ErrAnswerTooLarge means that an answer is larger than its reader accepts.
var ErrAnswerTooLarge = errors.New("the answer is too large")

// DecodeJSON decodes the JSON value at the start of an answer into out. It reads at most limit bytes
// and returns ErrAnswerTooLarge if the value is not whole by then.
func DecodeJSON(answer io.Reader, limit int64, out any) error {
	bounded := &io.LimitedReader{R: answer, N: limit}
	err := json.NewDecoder(bounded).Decode(out)
	if err != nil && bounded.N == 0 {
		return errors.Join(ErrAnswerTooLarge, err)
	}
	return err
}
