package faultinject

import (
	"bytes"
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/internal/load/fleet"
	"github.com/greengagegate/greengagegate/internal/load/scenario"
)

const (
	poisonRepeats      = 20
	poisonInterval     = 100 * time.Millisecond
	poisonOutputTokens = 16
	// latePoisonSuffix follows the poison marker of a request that crashes engines
	// after 6 tokens.
	latePoisonSuffix = "6."

	revokeCallInterval    = 20 * time.Millisecond
	revokeLeadTime        = time.Second
	revokeObservationTime = 10 * time.Second
	revokeCallTimeout     = 2 * time.Second
)

// poison sends a request that crashes engines poisonRepeats times, one after the
// other and through different routers, like a caller that retries after errors.
// markerSuffix is appended to the poison marker: the number of tokens before the
// crash, or "" for a crash at once. It always returns nil.
func (m *Manager) poison(ctx context.Context, markerSuffix string) error {
	for i := range poisonRepeats {
		m.sendPoison(ctx, i, markerSuffix)
		time.Sleep(poisonInterval)
	}
	return nil
}

// poisonBurst sends poisonRepeats poison requests at the same time. It always
// returns nil.
func (m *Manager) poisonBurst(ctx context.Context, markerSuffix string) error {
	var wg sync.WaitGroup
	for i := range poisonRepeats {
		wg.Go(func() { m.sendPoison(ctx, i, markerSuffix) })
	}
	wg.Wait()
	return nil
}

// sendPoison sends one poison request and counts its outcome. The repetition
// selects the router.
func (m *Manager) sendPoison(ctx context.Context, repetition int, markerSuffix string) {
	text := bytes.Repeat([]byte("poison. "), m.options.Plan.Scenario.BlockTokens/2)
	text = append(text, fleet.PoisonMarker+markerSuffix...)
	prompt := scenario.Prompt{Output: poisonOutputTokens, Router: repetition % m.options.Plan.Scenario.Zones}
	result := m.options.Client.SendPrompt(ctx, prompt, text)
	if ctx.Err() != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.report.PoisonSent++
	m.report.PoisonCodes[string(result.Outcome)+" "+result.Code]++
}

// revoke calls every router with a key at regular intervals, withdraws the key
// meanwhile and records how long after the withdrawal it was still accepted.
func (m *Manager) revoke(ctx context.Context) error {
	callCtx, stop := context.WithCancel(ctx)
	defer stop()
	clients := make([]*keyClient, len(m.options.Callers))
	var wg sync.WaitGroup
	for i, address := range m.options.Callers {
		clients[i] = &keyClient{address: address, secret: m.options.Secret, http: &http.Client{Timeout: revokeCallTimeout}}
		wg.Go(func() { clients[i].run(callCtx) })
	}
	time.Sleep(revokeLeadTime)
	err := m.options.Fleet.WithdrawKey(ctx)
	withdrawnAt := time.Now()
	select {
	case <-time.After(revokeObservationTime):
	case <-ctx.Done():
	}
	stop()
	wg.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	longestMs := 0.0
	for _, c := range clients {
		m.report.RevokeUses += c.acceptedCalls
		acceptedMs := float64(c.lastAccepted.Sub(withdrawnAt).Microseconds()) / 1000
		longestMs = max(longestMs, acceptedMs)
	}
	m.report.RevokeMs = &longestMs
	return err
}

// keyClient repeatedly calls one router with a key. Its counters may be read
// after run has returned.
type keyClient struct {
	address, secret string
	http            *http.Client
	acceptedCalls   int
	lastAccepted    time.Time
}

// run calls the router every revokeCallInterval until ctx is done.
func (c *keyClient) run(ctx context.Context) {
	for ctx.Err() == nil {
		if c.call(ctx) {
			c.acceptedCalls++
			c.lastAccepted = time.Now()
		}
		time.Sleep(revokeCallInterval)
	}
}

// call reports whether the router accepted the key in one call.
func (c *keyClient) call(ctx context.Context) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+fleet.PathBalance+"/any", nil)
	if err != nil {
		return false
	}
	request.Header.Set("Authorization", "Bearer "+c.secret)
	response, err := c.http.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
