package router

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/google/uuid"
	"github.com/greengagegate/greengagegate/internal/admission"
	"github.com/greengagegate/greengagegate/internal/dispatch"
	"github.com/greengagegate/greengagegate/internal/metrics"
	"github.com/greengagegate/greengagegate/internal/picker"
	"github.com/greengagegate/greengagegate/internal/refusal"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
)

// RunState tells a caller whether its request was executed.
type RunState string

// The values of the field "run" and of HeaderRun.
const (
	RunNot     RunState = "not-run"
	RunDone    RunState = "ran"
	RunUnknown RunState = "unknown"
)

// Headers of answers.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderRun       = "X-Greengage-Run"
)

const requestIDKey = "request_id"

// apiError is an error answer to a caller.
type apiError struct {
	Status     int           `json:"-"`
	Code       string        `json:"code"`
	Message    string        `json:"message"`
	Step       string        `json:"step"`
	RequestID  string        `json:"request_id"`
	Run        RunState      `json:"run"`
	RetryAfter time.Duration `json:"-"`
}

// Error implements error.
func (e *apiError) Error() string { return e.Step + ": " + e.Code + ": " + e.Message }

type errorBody struct {
	Error *apiError `json:"error"`
}

// refuse returns an error answer for a request that was not forwarded.
func refuse(status int, code, step, message string) *apiError {
	return &apiError{Status: status, Code: code, Message: message, Step: step, Run: RunNot}
}

func newRequestID() string { return uuid.NewString() }

func requestID(c *gin.Context) string { return c.GetString(requestIDKey) }

// fail writes an error answer. It is called before anything else was written.
func (s *Server) fail(c *gin.Context, e *apiError) {
	e.RequestID = requestID(c)
	metrics.Counter("router.errors", "code", e.Code).Inc(1)
	c.Header(HeaderRun, string(e.Run))
	if e.RetryAfter > 0 {
		c.Header("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	c.AbortWithStatusJSON(e.Status, errorBody{Error: e})
}

func runState(state wirepb.RunState) RunState {
	switch state {
	case wirepb.RunState_RUN_NOT_RUN:
		return RunNot
	case wirepb.RunState_RUN_RAN:
		return RunDone
	default:
		return RunUnknown
	}
}

// fromRefusal turns an inner refusal into an answer.
func fromRefusal(r *wirepb.Refusal) *apiError {
	return &apiError{
		Status:     refusal.Status(r.Code),
		Code:       r.Code,
		Message:    r.Message,
		Step:       r.Step,
		Run:        runState(r.Run),
		RetryAfter: time.Duration(r.RetryAfterMs) * time.Millisecond,
	}
}

// fromError turns an error of admission or dispatch into an answer.
func fromError(err error, step string) *apiError {
	var limited *admission.Refusal
	if errors.As(err, &limited) {
		return fromAdmission(limited)
	}
	var failure *dispatch.Failure
	if errors.As(err, &failure) {
		return fromRefusal(failure.Refusal)
	}
	if errors.Is(err, picker.ErrNoUpstream) {
		return noUpstream(err, step)
	}
	return &apiError{
		Status: http.StatusBadGateway, Code: "failed", Message: err.Error(), Step: step, Run: RunUnknown,
	}
}

// noUpstream answers a prompt that no agent was ready to take.
func noUpstream(err error, step string) *apiError {
	failure := refuse(http.StatusServiceUnavailable, string(refusal.NoUpstream), step, err.Error())
	failure.RetryAfter = time.Second
	return failure
}

func fromAdmission(limited *admission.Refusal) *apiError {
	status := http.StatusTooManyRequests
	if limited.RetryAfter <= 0 {
		status = http.StatusBadRequest
	}
	return &apiError{
		Status: status, Code: string(limited.Code), Message: limited.Message, Step: "admit",
		Run: RunNot, RetryAfter: limited.RetryAfter,
	}
}

// marshalEvent encodes an error as the data of an explicit error event.
func (e *apiError) marshalEvent() []byte {
	data, err := json.Marshal(errorBody{Error: e})
	if err != nil {
		return []byte(`{"error":{"code":"internal"}}`)
	}
	return data
}
