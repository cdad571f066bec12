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
	// prepareAhead is how long before its arrival a request's text is written.
	prepareAhead   = 50 * time.Millisecond
	requestTimeout = 60 * time.Second
	dialTimeout    = time.Second
	maxIdleConns   = 512

	chargeAttempts   = 3
	chargeRetryPause = 500 * time.Millisecond

	headerRequestID      = "X-Request-Id"
	headerRun            = "X-Greengage-Run"
	headerIdempotencyKey = "Idempotency-Key"
)

// Options describes the callers of a run.
type Options struct {
	Plan *scenario.Plan
	// Secret returns a customer's key.
	Secret func(customer int) string
	// Callers and Admin are the routers' addresses, in the same order.
	Callers, Admin []string
}

// Manager sends a plan's requests.
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

// New prepares the callers.
func New(options Options) *Manager {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Manager{
		options:  options,
		texts:    scenario.NewTexts(options.Plan),
		balancer: newBalancer(options.Callers, options.Admin),
		http: &http.Client{Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			DisableCompression:  true,
			MaxIdleConnsPerHost: maxIdleConns,
		}},
	}
}

// Run sends all requests at their times and returns when all have ended, or ctx does.
func (m *Manager) Run(ctx context.Context, started time.Time) {
	m.started = started
	health, cancel := context.WithCancel(ctx)
	defer cancel()
	go m.balancer.run(health)
	var all sync.WaitGroup
	all.Go(func() { m.sendPrompts(ctx, &all) })
	all.Go(func() { m.sendCharges(ctx, &all) })
	all.Wait()
}

// Results returns what became of all requests that have ended.
func (m *Manager) Results() ([]PromptResult, []ChargeResult) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]PromptResult(nil), m.prompts...), append([]ChargeResult(nil), m.charges...)
}

func (m *Manager) now() time.Duration { return time.Since(m.started) }

// sleepUntil blocks until a time of the run and reports whether ctx is still alive.
func (m *Manager) sleepUntil(ctx context.Context, at time.Duration) bool {
	return pause.For(ctx, at-m.now()) == nil
}

func (m *Manager) sendPrompts(ctx context.Context, all *sync.WaitGroup) {
	for _, p := range m.options.Plan.Prompts {
		if !m.sleepUntil(ctx, p.At-prepareAhead) {
			return
		}
		all.Go(func() {
			result := m.Prompt(ctx, p, m.texts.Prompt(p))
			m.mu.Lock()
			defer m.mu.Unlock()
			m.prompts = append(m.prompts, result)
		})
	}
}

// Prompt sends one prompt at its time and reads the answer.
func (m *Manager) Prompt(ctx context.Context, p scenario.Prompt, text []byte) (result PromptResult) {
	result = PromptResult{Prompt: p, Outcome: Failed, ReportedRun: ReportedUnknown}
	body := promptBody(text, p.Output)
	if !m.sleepUntil(ctx, p.At) {
		result.ReportedRun = ReportedNotRun
		return result
	}
	result.Sent = m.now()
	time.Sleep(m.options.Plan.Scenario.ClientDelay)
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	response, err := m.post(ctx, "/v1/completions", body, p.Customer, p.Router, "")
	defer func() { result.Ended = m.now() }()
	if err != nil {
		result.Detail = err.Error()
		return result
	}
	defer func() { _ = response.Body.Close() }()
	result.Status = response.StatusCode
	if response.StatusCode != http.StatusOK {
		m.refused(response, &result)
		return result
	}
	m.readStream(response.Body, &result, text)
	return result
}

func (m *Manager) refused(response *http.Response, result *PromptResult) {
	result.Outcome = Refused
	detail, err := readError(response)
	if err != nil {
		result.Detail = err.Error()
		return
	}
	result.setError(detail)
}

// readStream reads the answer and compares it with what the prompt gives.
func (m *Manager) readStream(body io.Reader, result *PromptResult, prompt []byte) {
	delay := m.options.Plan.Scenario.ClientDelay
	r := &reader{result: result, now: func() time.Duration { return m.now() + delay }}
	r.read(body)
	result.Tokens = answer.Tokens(r.text)
	want := answer.Text(prompt, result.Prompt.Output)
	whole := result.Outcome == Complete
	result.WrongText = len(r.text) > len(want) || string(r.text) != want[:len(r.text)] ||
		(whole && len(r.text) != len(want))
}

// promptBody returns the request's JSON. The text of plans needs no escapes.
func promptBody(text []byte, output int64) []byte {
	body := make([]byte, 0, len(text)+256)
	body = append(body, `{"model":"`+fleet.Model+`","stream":true,"stream_options":{"include_usage":true},`...)
	body = fmt.Appendf(body, `"max_tokens":%d,"prompt":"`, output)
	body = append(body, text...)
	return append(body, `"}`...)
}

// post sends a request through the router that the balancer picks, and through
// the next one while no connection can be made.
func (m *Manager) post(ctx context.Context, path string, body []byte, customer, router int, idempotencyKey string) (*http.Response, error) {
	var err error
	for skip := range len(m.options.Callers) {
		address := m.balancer.pick(router, skip)
		var request *http.Request
		request, err = http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
		if err != nil {
			return nil, err
		}
		request.Header.Set("Authorization", "Bearer "+m.options.Secret(customer))
		request.Header.Set("Content-Type", "application/json")
		if idempotencyKey != "" {
			request.Header.Set(headerIdempotencyKey, idempotencyKey)
			// Without GetBody the transport never sends a charge twice by itself.
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

// isDialError reports that no connection was made, so that nothing was sent.
func isDialError(err error) bool {
	var failure *net.OpError
	return errors.As(err, &failure) && failure.Op == "dial"
}

func (m *Manager) sendCharges(ctx context.Context, all *sync.WaitGroup) {
	for _, charge := range m.options.Plan.Charges {
		if !m.sleepUntil(ctx, charge.At) {
			return
		}
		all.Go(func() {
			result := m.charge(ctx, charge)
			m.mu.Lock()
			defer m.mu.Unlock()
			m.charges = append(m.charges, result)
		})
	}
}

// charge sends a charge, again where the plan says so, and again a few times
// while its outcome is not known or it did not run.
func (m *Manager) charge(ctx context.Context, charge scenario.Charge) ChargeResult {
	result := ChargeResult{Charge: charge}
	var repeated Attempt
	var repeat sync.WaitGroup
	if charge.RepeatAt > 0 {
		repeat.Go(func() {
			if m.sleepUntil(ctx, charge.RepeatAt) {
				repeated = m.attempt(ctx, charge, charge.RepeatRouter)
			}
		})
	}
	for i := range chargeAttempts {
		attempt := m.attempt(ctx, charge, charge.Router+i)
		result.Attempts = append(result.Attempts, attempt)
		if attempt.ReportedRun == ReportedRan || !m.sleepUntil(ctx, m.now()+chargeRetryPause) {
			break
		}
	}
	repeat.Wait()
	if repeated.Sent > 0 {
		result.Attempts = append(result.Attempts, repeated)
	}
	return result
}

func (m *Manager) attempt(ctx context.Context, charge scenario.Charge, router int) (attempt Attempt) {
	attempt = Attempt{Sent: m.now(), ReportedRun: ReportedUnknown}
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
	defer func() { attempt.Took = m.now() - attempt.Sent }()
	if err != nil {
		attempt.Code = "transport"
		if isDialError(err) {
			attempt.ReportedRun = ReportedNotRun
		}
		return attempt
	}
	defer func() { _ = response.Body.Close() }()
	m.readAttempt(response, &attempt)
	return attempt
}

func (m *Manager) readAttempt(response *http.Response, attempt *Attempt) {
	attempt.Status = response.StatusCode
	attempt.RequestID = response.Header.Get(headerRequestID)
	if run := response.Header.Get(headerRun); run != "" {
		attempt.ReportedRun = ReportedRun(run)
	}
	if response.StatusCode == http.StatusOK {
		attempt.ReportedRun = ReportedRan
		_, _ = io.Copy(io.Discard, response.Body)
		return
	}
	detail, err := readError(response)
	if err != nil {
		attempt.Code = "malformed"
		return
	}
	attempt.Code = detail.Code
	attempt.ReportedRun = detail.Run
}
