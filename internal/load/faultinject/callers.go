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
	poisonRepeats = 20
	poisonPause   = 100 * time.Millisecond
	poisonOutput  = 16
	// poisonTokens follows the marker of a late poison.
	poisonTokens = "6."

	revokeUseEvery = 20 * time.Millisecond
	revokeBefore   = time.Second
	revokeAfter    = 10 * time.Second
	useTimeout     = 2 * time.Second
)

// poison sends a request that crashes engines, again and again through
// different routers, as a caller does that gets errors. After is the number of
// tokens before the crash.
func (m *Manager) poison(ctx context.Context, after string) error {
	for i := range poisonRepeats {
		m.sendPoison(ctx, i, after)
		time.Sleep(poisonPause)
	}
	return nil
}

// poisonBurst sends a request that crashes engines many times at once.
func (m *Manager) poisonBurst(ctx context.Context, after string) error {
	var all sync.WaitGroup
	for i := range poisonRepeats {
		all.Go(func() { m.sendPoison(ctx, i, after) })
	}
	all.Wait()
	return nil
}

func (m *Manager) sendPoison(ctx context.Context, number int, after string) {
	text := bytes.Repeat([]byte("poison. "), m.options.Plan.Scenario.BlockTokens/2)
	text = append(text, fleet.PoisonMarker+after...)
	prompt := scenario.Prompt{Output: poisonOutput, Router: number % m.options.Plan.Scenario.Zones}
	result := m.options.Client.Prompt(ctx, prompt, text)
	if ctx.Err() != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.report.PoisonSent++
	m.report.PoisonCodes[string(result.Outcome)+" "+result.Code]++
}

// revoke uses a key on connections that stay open, withdraws it, and notes for
// how long it still worked.
func (m *Manager) revoke(ctx context.Context) error {
	using, stop := context.WithCancel(ctx)
	defer stop()
	users := make([]*keyUser, len(m.options.Callers))
	var all sync.WaitGroup
	for i, address := range m.options.Callers {
		users[i] = &keyUser{address: address, secret: m.options.Secret, http: &http.Client{Timeout: useTimeout}}
		all.Go(func() { users[i].run(using) })
	}
	time.Sleep(revokeBefore)
	err := m.options.Fleet.WithdrawKey(ctx)
	accepted := time.Now()
	select {
	case <-time.After(revokeAfter):
	case <-ctx.Done():
	}
	stop()
	all.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	longest := 0.0
	for _, user := range users {
		m.report.RevokeUses += user.uses
		late := float64(user.last.Sub(accepted).Microseconds()) / 1000
		longest = max(longest, late)
	}
	m.report.RevokeMs = &longest
	return err
}

// keyUser calls one router with a key over and over.
type keyUser struct {
	address, secret string
	http            *http.Client
	uses            int
	last            time.Time
}

func (u *keyUser) run(ctx context.Context) {
	for ctx.Err() == nil {
		if u.use(ctx) {
			u.uses++
			u.last = time.Now()
		}
		time.Sleep(revokeUseEvery)
	}
}

func (u *keyUser) use(ctx context.Context) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+u.address+fleet.PathBalance+"/any", nil)
	if err != nil {
		return false
	}
	request.Header.Set("Authorization", "Bearer "+u.secret)
	response, err := u.http.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
