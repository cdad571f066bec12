package client

import (
	"time"

	"github.com/greengagegate/greengagegate/internal/load/scenario"
)

// Outcome is the way in which a prompt ended for its caller.
type Outcome string

// The outcomes of prompts.
const (
	// Complete is a stream that ended with the [DONE] marker.
	Complete Outcome = "complete"
	// Refused is an answer with an error status instead of a stream.
	Refused Outcome = "refused"
	// Failed is a stream that ended with an error event, or a request without any answer.
	Failed Outcome = "failed"
	// Truncated is a stream that ended without a [DONE] marker or error event, or
	// with an event that could not be parsed.
	Truncated Outcome = "truncated"
)

// ReportedRun is the statement that a caller receives on whether its request ran.
type ReportedRun string

// The values of ReportedRun.
const (
	ReportedRan     ReportedRun = "ran"
	ReportedNotRun  ReportedRun = "not-run"
	ReportedUnknown ReportedRun = "unknown"
)

// PromptResult is the result of one prompt. Times count from the start of the run.
type PromptResult struct {
	Prompt  scenario.Prompt
	Outcome Outcome
	// Status is the HTTP status, 0 if there was no answer. Code is the error code of
	// a refusal or error event.
	Status      int
	Code        string
	ReportedRun ReportedRun
	// Sent is when the caller sent the request, FirstText when it received the first
	// text (0 if it received none), Ended when the answer ended.
	Sent, FirstText, Ended time.Duration
	// PromptTokens, CachedTokens and CompletionTokens are the counts of the usage
	// event, 0 if the stream had none.
	PromptTokens     int64
	CachedTokens     int64
	CompletionTokens int64
	// Events is the number of non-empty texts that the stream carried.
	Events int
	// Tokens is the number of tokens in the received text.
	Tokens int64
	// WrongText is true if the received text differs from the expected answer to the prompt.
	WrongText bool
	// Detail is the step and message of an error that the router reported, or the text
	// of any other error; empty without an error.
	Detail string
}

// TTFT returns the time to first token, counted from the scheduled arrival. It is
// only valid if some text was received.
func (r PromptResult) TTFT() time.Duration { return r.FirstText - r.Prompt.At }

// Attempt is one try of a charge. Sent counts from the start of the run. Took is the
// time from Sent to the end of the answer or the error.
type Attempt struct {
	RequestID   string
	Status      int
	Code        string
	ReportedRun ReportedRun
	Sent        time.Duration
	Took        time.Duration
}

// ChargeResult holds all attempts of a charge: the retries in order, then the
// repeat through another router, if there was one.
type ChargeResult struct {
	Charge   scenario.Charge
	Attempts []Attempt
}
