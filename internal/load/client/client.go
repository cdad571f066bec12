package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/internal/load/fleet"
	"github.com/greengagegate/greengagegate/internal/load/scenario"
	"github.com/greengagegate/greengagegate/internal/pause"
	"github.com/greengagegate/greengagegate/internal/standin/answer"
	"github.com/greengagegate/greengagegate/internal/standin/plainsvc"
)

const (
	// promptLeadTime is how long before its arrival the text of a prompt is
	// generated, so that the generation does not delay the request.
	promptLeadTime        = 50 * time.Millisecond
	requestTimeout        = 60 * time.Second
	dialTimeout           = time.Second
	maxIdleConnsPerRouter = 512

	chargeAttempts   = 3
	chargeRetryDelay = 500 * time.Millisecond

	headerRequestID      = "X-Request-Id"
	headerReportedRun    = "X-Greengage-Run"
	headerIdempotencyKey = "Idempotency-Key"
)

// Options configures a Manager.
type Options struct {
	Plan *scenario.Plan
	// Secret returns the API key of a customer, given by its position in the scenario.
	Secret func(customer int) string
	// Callers and Admin are the routers' addresses for callers and for readiness
	// checks, in the same order.
	Callers, Admin []string
}

// Manager sends the requests of a plan and collects their results.
type Manager struct {
	options  Options
	texts    *scenario.Texts
	balancer *balancer
	http     *http.Client
	started  time.Time

	mu      sync.Mutex
	prompts []PromptResult
	charges []ChargeResult
}

// New returns a Manager that has not sent anything yet.
func New(options Options) *Manager {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Manager{
		options:  options,
		texts:    scenario.NewTexts(options.Plan),
		balancer: newBalancer(options.Callers, options.Admin),
		http: &http.Client{Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			DisableCompression:  true,
			MaxIdleConnsPerHost: maxIdleConnsPerRouter,
		}},
	}
}

// Run sends all requests at their times, counted from started. It blocks until all
// of them have ended. When ctx ends, it sends no further requests and cancels
// those in flight.
func (m *Manager) Run(ctx context.Context, started time.Time) {
	m.started = started
	pollCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go m.balancer.pollReadiness(pollCtx)
	var requests sync.WaitGroup
	requests.Go(func() { m.sendPrompts(ctx, &requests) })
	requests.Go(func() { m.sendCharges(ctx, &requests) })
	requests.Wait()
}

// Results returns copies of the results of all requests that have ended so far. It
// is safe for concurrent use.
func (m *Manager) Results() ([]PromptResult, []ChargeResult) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]PromptResult(nil), m.prompts...), append([]ChargeResult(nil), m.charges...)
}

// runTime returns the time since the start of the run.
func (m *Manager) runTime() time.Duration { return time.Since(m.started) }

// sleepUntil blocks until the given time of the run or until ctx ends. It reports
// whether that time was reached.
func (m *Manager) sleepUntil(ctx context.Context, at time.Duration) bool {
	return pause.For(ctx, at-m.runTime()) == nil
}

func (m *Manager) sendPrompts(ctx context.Context, requests *sync.WaitGroup) {
	for _, p := range m.options.Plan.Prompts {
		if !m.sleepUntil(ctx, p.At-promptLeadTime) {
			return
		}
		requests.Go(func() {
			result := m.SendPrompt(ctx, p, m.texts.Prompt(p))
			m.mu.Lock()
			defer m.mu.Unlock()
			m.prompts = append(m.prompts, result)
		})
	}
}

// SendPrompt sends one prompt with this text at its time of the run and blocks until
// the answer is read, the request fails or ctx ends. If no connection to a router can
// be made, it tries the next one; it never resends a prompt that a router may have
// received.
func (m *Manager) SendPrompt(ctx context.Context, p scenario.Prompt, text []byte) (result PromptResult) {
	result = PromptResult{Prompt: p, Outcome: Failed, ReportedRun: ReportedUnknown}
	body := promptBody(text, p.Output)
	if !m.sleepUntil(ctx, p.At) {
		result.ReportedRun = ReportedNotRun
		return result
	}
	result.Sent = m.runTime()
	time.Sleep(m.options.Plan.Scenario.ClientDelay)
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	response, err := m.post(ctx, "/v1/completions", body, p.Customer, p.Router, "")
	defer func() { result.Ended = m.runTime() }()
	if err != nil {
		result.Detail = err.Error()
		return result
	}
	defer func() { _ = response.Body.Close() }()
	result.Status = response.StatusCode
	if response.StatusCode != http.StatusOK {
		m.readRefusal(response, &result)
		return result
	}
	m.readStream(response.Body, &result, text)
	return result
}

// readRefusal records an answer whose status is not 200.
func (m *Manager) readRefusal(response *http.Response, result *PromptResult) {
	result.Outcome = Refused
	refusal, err := readError(response)
	if err != nil {
		result.Detail = err.Error()
		return
	}
	result.setError(refusal)
}

// readStream reads the streamed answer and compares its text with the one that the
// stand-in engines derive from the prompt. The text so far of an incomplete answer
// must be a prefix of it.
func (m *Manager) readStream(body io.Reader, result *PromptResult, prompt []byte) {
	delay := m.options.Plan.Scenario.ClientDelay
	// The caller gets each event one ClientDelay after it arrives here.
	r := &streamReader{result: result, runTime: func() time.Duration { return m.runTime() + delay }}
	r.readAll(body)
	result.Tokens = answer.Tokens(r.text)
	want := answer.Text(prompt, result.Prompt.Output)
	isComplete := result.Outcome == Complete
	result.WrongText = len(r.text) > len(want) || string(r.text) != want[:len(r.text)] ||
		(isComplete && len(r.text) != len(want))
}

// promptBody returns the request as JSON. The text is inserted without escaping,
// since the texts of plans contain no characters that JSON escapes.
func promptBody(text []byte, output int64) []byte {
	body := make([]byte, 0, len(text)+256)
	body = append(body, `{"model":"`+fleet.Model+`","stream":true,"stream_options":{"include_usage":true},`...)
	body = fmt.Appendf(body, `"max_tokens":%d,"prompt":"`, output)
	body = append(body, text...)
	return append(body, `"}`...)
}

// post sends a request through the router that the balancer picks. If no connection
// can be made, it tries the next router, at most as many as there are. Any other
// error is returned at once, since the request may have run.
func (m *Manager) post(ctx context.Context, path string, body []byte, customer, router int, idempotencyKey string) (*http.Response, error) {
	var err error
	for skip := range len(m.options.Callers) {
		address := m.balancer.pickAddress(router, skip)
		var request *http.Request
		request, err = http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
		if err != nil {
			return nil, err
		}
		request.Header.Set("Authorization", "Bearer "+m.options.Secret(customer))
		request.Header.Set("Content-Type", "application/json")
		if idempotencyKey != "" {
			request.Header.Set(headerIdempotencyKey, idempotencyKey)
			// The transport retries a request that has an Idempotency-Key when its
			// connection breaks. Without GetBody it cannot, so that each
			// transmission of a charge is one recorded attempt.
			request.GetBody = nil
		}
		var response *http.Response
		response, err = m.http.Do(request)
		if err == nil {
			return response, nil
		}
		if !isDialError(err) {
			return nil, err
		}
	}
	return nil, err
}

// isDialError reports whether err means that no connection was made, so that
// nothing was sent.
func isDialError(err error) bool {
	var opError *net.OpError
	return errors.As(err, &opError) && opError.Op == "dial"
}

func (m *Manager) sendCharges(ctx context.Context, requests *sync.WaitGroup) {
	for _, charge := range m.options.Plan.Charges {
		if !m.sleepUntil(ctx, charge.At) {
			return
		}
		requests.Go(func() {
			result := m.sendCharge(ctx, charge)
			m.mu.Lock()
			defer m.mu.Unlock()
			m.charges = append(m.charges, result)
		})
	}
}

// sendCharge sends a charge until an attempt reports that it ran, at most
// chargeAttempts times, each time through the next router. Beside these retries it
// sends the charge once at RepeatAt through another router, if the plan has such a
// repeat. It returns when all attempts have ended.
func (m *Manager) sendCharge(ctx context.Context, charge scenario.Charge) ChargeResult {
	result := ChargeResult{Charge: charge}
	var repeatAttempt Attempt
	var repeat sync.WaitGroup
	if charge.RepeatAt > 0 {
		repeat.Go(func() {
			if m.sleepUntil(ctx, charge.RepeatAt) {
				repeatAttempt = m.attemptCharge(ctx, charge, charge.RepeatRouter)
			}
		})
	}
	for i := range chargeAttempts {
		attempt := m.attemptCharge(ctx, charge, charge.Router+i)
		result.Attempts = append(result.Attempts, attempt)
		if attempt.ReportedRun == ReportedRan || !m.sleepUntil(ctx, m.runTime()+chargeRetryDelay) {
			break
		}
	}
	repeat.Wait()
	if repeatAttempt.Sent > 0 {
		result.Attempts = append(result.Attempts, repeatAttempt)
	}
	return result
}

// attemptCharge sends a charge once and reads the answer. An attempt for which no
// connection could be made counts as not run.
func (m *Manager) attemptCharge(ctx context.Context, charge scenario.Charge, router int) (attempt Attempt) {
	attempt = Attempt{Sent: m.runTime(), ReportedRun: ReportedUnknown}
	body, err := json.Marshal(plainsvc.ChargeRequest{
		ID:      charge.ID,
		Account: m.options.Plan.Scenario.CustomerName(charge.Customer),
		Amount:  1,
	})
	if err != nil {
		return attempt
	}
	time.Sleep(m.options.Plan.Scenario.ClientDelay)
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	response, err := m.post(ctx, fleet.PathCharges, body, charge.Customer, router, charge.ID)
	defer func() { attempt.Took = m.runTime() - attempt.Sent }()
	if err != nil {
		attempt.Code = "transport"
		if isDialError(err) {
			attempt.ReportedRun = ReportedNotRun
		}
		return attempt
	}
	defer func() { _ = response.Body.Close() }()
	m.readChargeResponse(response, &attempt)
	return attempt
}

// readChargeResponse records the status, the request ID and whether the charge ran.
func (m *Manager) readChargeResponse(response *http.Response, attempt *Attempt) {
	attempt.Status = response.StatusCode
	attempt.RequestID = response.Header.Get(headerRequestID)
	if reported := response.Header.Get(headerReportedRun); reported != "" {
		attempt.ReportedRun = ReportedRun(reported)
	}
	if response.StatusCode == http.StatusOK {
		attempt.ReportedRun = ReportedRan
		_, _ = io.Copy(io.Discard, response.Body)
		return
	}
	refusal, err := readError(response)
	if err != nil {
		attempt.Code = "malformed"
		return
	}
	attempt.Code = refusal.Code
	attempt.ReportedRun = refusal.Run
}
