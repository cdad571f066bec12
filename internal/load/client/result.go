package client

import (
	"time"

	"github.com/greengagegate/greengagegate/internal/load/scenario"
)

// Outcome is how a prompt ended for its caller.
type Outcome string

// The outcomes of prompts.
const (
	// Complete is a stream with its end mark.
	Complete Outcome = "complete"
	// Refused is an error answer instead of a stream.
	Refused Outcome = "refused"
	// Failed is a stream with an explicit error, or no answer at all.
	Failed Outcome = "failed"
	// Truncated is a stream that ended without end mark or error.
	Truncated Outcome = "truncated"
)

// ReportedRun is what a caller was told about a request: whether it ran.
type ReportedRun string

// The values of Told.
const (
	ReportedRan     ReportedRun = "ran"
	ReportedNotRun  ReportedRun = "not-run"
	ReportedUnknown ReportedRun = "unknown"
)

// PromptResult is what became of a prompt. Times count from the start of the run.
type PromptResult struct {
	Prompt  scenario.Prompt
	Outcome Outcome
	// Status and Code are those of an error answer or error event.
	Status      int
	Code        string
	ReportedRun ReportedRun
	// Sent is when the request left, FirstByte when the first content arrived.
	Sent, FirstByte, Ended time.Duration
	PromptTokens           int64
	CachedTokens           int64
	CompletionTokens       int64
	// Events is the number of pieces in which the text came.
	Events int
	// Tokens is the number of tokens of the text.
	Tokens int64
	// WrongText says that the text is not what the prompt gives.
	WrongText bool
	Detail    string
}

// TTFT is the time from the scheduled arrival to the first content.
func (r PromptResult) TTFT() time.Duration { return r.FirstByte - r.Prompt.At }

// Attempt is one sending of a charge.
type Attempt struct {
	RequestID   string
	Status      int
	Code        string
	ReportedRun ReportedRun
	Sent        time.Duration
	Took        time.Duration
}

// ChargeResult is all attempts of a charge.
type ChargeResult struct {
	Charge   scenario.Charge
	Attempts []Attempt
}
