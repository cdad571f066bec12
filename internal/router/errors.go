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

// RunState reports to a caller whether its request was executed.
type RunState string

// The values of HeaderRun and of the field "run" of an error response.
const (
	RunStateNotRun  RunState = "not-run"
	RunStateRan     RunState = "ran"
	RunStateUnknown RunState = "unknown"
)

// Response headers.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderRun       = "X-Greengage-Run"
)

// requestIDContextKey is the key of the request id in the gin context.
const requestIDContextKey = "request_id"

// apiError is an error response to a caller.
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

// errorResponse is the body of an error response.
type errorResponse struct {
	Error *apiError `json:"error"`
}

// newRefusal returns an error response for a request that was not forwarded.
func newRefusal(status int, code, step, message string) *apiError {
	return &apiError{Status: status, Code: code, Message: message, Step: step, Run: RunStateNotRun}
}

func newRequestID() string { return uuid.NewString() }

func requestID(c *gin.Context) string { return c.GetString(requestIDContextKey) }

// writeError writes an error response. It must be called before any part of the
// response is written.
func (s *Server) writeError(c *gin.Context, e *apiError) {
	e.RequestID = requestID(c)
	metrics.Counter("router.errors", "code", e.Code).Inc(1)
	c.Header(HeaderRun, string(e.Run))
	if e.RetryAfter > 0 {
		c.Header("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	c.AbortWithStatusJSON(e.Status, errorResponse{Error: e})
}

func runStateFromWire(state wirepb.RunState) RunState {
	switch state {
	case wirepb.RunState_RUN_NOT_RUN:
		return RunStateNotRun
	case wirepb.RunState_RUN_RAN:
		return RunStateRan
	default:
		return RunStateUnknown
	}
}

// errorFromRefusal converts a refusal of the inner protocol to an error response.
func errorFromRefusal(r *wirepb.Refusal) *apiError {
	return &apiError{
		Status:     refusal.Status(r.Code),
		Code:       r.Code,
		Message:    r.Message,
		Step:       r.Step,
		Run:        runStateFromWire(r.Run),
		RetryAfter: time.Duration(r.RetryAfterMs) * time.Millisecond,
	}
}

// errorFromCause converts an error of admission or dispatch in the given step to an
// error response. For an unknown error, the run state is unknown.
func errorFromCause(err error, step string) *apiError {
	var refused *admission.Refusal
	if errors.As(err, &refused) {
		return errorFromAdmission(refused)
	}
	var failure *dispatch.Failure
	if errors.As(err, &failure) {
		return errorFromRefusal(failure.Refusal)
	}
	if errors.Is(err, picker.ErrNoUpstream) {
		return noUpstreamError(err, step)
	}
	return &apiError{
		Status: http.StatusBadGateway, Code: "failed", Message: err.Error(), Step: step, Run: RunStateUnknown,
	}
}

// noUpstreamError returns the error response for a prompt that no agent accepts.
func noUpstreamError(err error, step string) *apiError {
	failure := newRefusal(http.StatusServiceUnavailable, string(refusal.NoUpstream), step, err.Error())
	failure.RetryAfter = time.Second
	return failure
}

// errorFromAdmission converts a refusal of admission to an error response. The
// status is 429 if the caller may retry after RetryAfter, and 400 otherwise.
func errorFromAdmission(refused *admission.Refusal) *apiError {
	status := http.StatusTooManyRequests
	if refused.RetryAfter <= 0 {
		status = http.StatusBadRequest
	}
	return &apiError{
		Status: status, Code: string(refused.Code), Message: refused.Message, Step: "admit",
		Run: RunStateNotRun, RetryAfter: refused.RetryAfter,
	}
}

// marshalEvent encodes an error as the data of an error event.
func (e *apiError) marshalEvent() []byte {
	data, err := json.Marshal(errorResponse{Error: e})
	if err != nil {
		return []byte(`{"error":{"code":"internal"}}`)
	}
	return data
}
