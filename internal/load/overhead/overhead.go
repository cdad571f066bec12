// Package overhead measures what router and agent add to a request at an idle engine:
// the time to the first token and the processor time for each token event.
package overhead

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/internal/engine"
	"github.com/greengagegate/greengagegate/internal/engine/httpengine"
	"github.com/greengagegate/greengagegate/internal/load/client"
	"github.com/greengagegate/greengagegate/internal/load/evaluate"
	"github.com/greengagegate/greengagegate/internal/load/fleet"
	"github.com/greengagegate/greengagegate/internal/load/scenario"
	"github.com/greengagegate/greengagegate/internal/pause"
	"github.com/rs/zerolog"
)

const (
	requestsPerSecond       = 200
	directRequestsPerSecond = 50
	shortOutputTokens       = 8
	longOutputTokens        = 72
	// prefillTokensPerSecond makes the engines' own part of the time to the first
	// token negligible.
	prefillTokensPerSecond = 1e9
	// unlimitedRate is a rate in tokens per second and a burst in tokens that no
	// customer reaches.
	unlimitedRate = 1e9

	warmup       = 2 * time.Second
	idleDuration = 4 * time.Second
	startDelay   = 500 * time.Millisecond
	// directStream is the number of the random stream that selects the direct requests.
	// It is also their salt.
	directStream = 77
)

// Options configures the measurement.
type Options struct {
	Seed     uint64
	Measured time.Duration
	BinDir   string
	// Net is the second octet of the processes' IP addresses.
	Net int
	Log zerolog.Logger
}

// Figures holds the results of the measurement.
type Figures struct {
	RequestsPerSecond int                `json:"requests_per_second"`
	Direct            evaluate.Quantiles `json:"direct_ttft"`
	Routed            evaluate.Quantiles `json:"routed_ttft"`
	// AddedP50 and AddedP99 are the quantiles of Routed minus those of Direct, in
	// milliseconds.
	AddedP50 float64 `json:"added_p50_ms"`
	AddedP99 float64 `json:"added_p99_ms"`
	// CPUPerTokenEvent is the processor time of all routers and agents for each token
	// event, in microseconds: the slope between streams with few and with many
	// tokens. Engines send each token as one event.
	CPUPerTokenEvent float64 `json:"cpu_us_per_token_event"`
	// CPUPerRequest is the processor time of all routers and agents for a request
	// without its token events, in microseconds.
	CPUPerRequest float64 `json:"cpu_us_per_request"`
	// IdleCPUPercent is the mean processor use of a router or agent without requests,
	// in percent of a core.
	IdleCPUPercent float64 `json:"idle_cpu_percent_per_process"`
	// LoopbackCost is the processor time that this machine needs for one small
	// message between two connected sockets, in microseconds, for comparison.
	LoopbackCost float64        `json:"cpu_us_per_loopback_message"`
	Failures     map[string]int `json:"failures,omitempty"`
}

// Measure starts a fleet of the size of the limon scenario without delays between
// zones or to callers, measures it and stops it. If an error occurs, the directory
// greengage-overhead-* with the logs is kept in the directory for temporary files.
func Measure(ctx context.Context, o Options) (figures Figures, err error) {
	workDir, err := os.MkdirTemp("", "greengage-overhead-")
	if err != nil {
		return Figures{}, err
	}
	s, err := scenario.ByName("limon")
	if err != nil {
		return Figures{}, err
	}
	s.PromptsPerSecond, s.ChargesPerSecond, s.ClientDelay = requestsPerSecond, 0, 0
	options := fleet.Options{
		Scenario: s, Policy: "prefix", Seed: o.Seed, BinDir: o.BinDir, WorkDir: workDir, Net: o.Net,
		WithoutRelays: true, PrefillRate: prefillTokensPerSecond, DecodeBase: fleet.DefaultDecodeBase,
	}
	for range s.Shares {
		options.Rates = append(options.Rates, unlimitedRate)
		options.Bursts = append(options.Bursts, unlimitedRate)
	}
	processes := fleet.New(options, o.Log)
	defer func() {
		err = errors.Join(err, processes.Stop())
		if err == nil {
			_ = os.RemoveAll(workDir)
		}
	}()
	if err := processes.Start(ctx); err != nil {
		return Figures{}, err
	}
	m := &measurement{options: o, scenario: s, fleet: processes, secret: options.Secret}
	return m.run(ctx)
}

// measurement is one measurement of a running fleet.
type measurement struct {
	options  Options
	scenario scenario.Scenario
	fleet    *fleet.Manager
	secret   func(int) string
	// idleCores is the number of cores that all processes together use when idle.
	idleCores float64
}

// measureIdle measures the processor use without requests and sets m.idleCores.
func (m *measurement) measureIdle(ctx context.Context) error {
	before := m.processorTime()
	if err := pause.For(ctx, idleDuration); err != nil {
		return err
	}
	m.idleCores = (m.processorTime() - before).Seconds() / idleDuration.Seconds()
	return nil
}

// phase holds the results of one part of the measurement, in which all answers have
// the same length.
type phase struct {
	// routed and direct are the times to the first token.
	routed, direct      []time.Duration
	requests            int
	tokens              int64
	failures            map[string]int
	activeProcessorTime time.Duration // of routers and agents, without what they use when idle
}

// run measures the idle fleet, the loopback cost and two phases, with short and with
// long answers.
func (m *measurement) run(ctx context.Context) (Figures, error) {
	if err := m.measureIdle(ctx); err != nil {
		return Figures{}, err
	}
	loopback, err := loopbackCost()
	if err != nil {
		return Figures{}, err
	}
	short, err := m.runPhase(ctx, shortOutputTokens)
	if err != nil {
		return Figures{}, err
	}
	long, err := m.runPhase(ctx, longOutputTokens)
	if err != nil {
		return Figures{}, err
	}
	f := Figures{
		RequestsPerSecond: requestsPerSecond,
		Direct:            evaluate.QuantilesOf(append(short.direct, long.direct...)),
		Routed:            evaluate.QuantilesOf(append(short.routed, long.routed...)),
		IdleCPUPercent:    100 * m.idleCores / float64(m.fleet.ProcessCount()),
		LoopbackCost:      loopback,
		Failures:          short.failures,
	}
	for code, count := range long.failures {
		f.Failures[code] += count
	}
	f.AddedP50 = f.Routed.P50 - f.Direct.P50
	f.AddedP99 = f.Routed.P99 - f.Direct.P99
	if extraTokens := long.tokens - short.tokens; extraTokens > 0 {
		f.CPUPerTokenEvent = microseconds(long.activeProcessorTime-short.activeProcessorTime) / float64(extraTokens)
	}
	if short.requests > 0 {
		f.CPUPerRequest = microseconds(short.activeProcessorTime)/float64(short.requests) - shortOutputTokens*f.CPUPerTokenEvent
	}
	return f, nil
}

func microseconds(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1000 }

// runPhase sends the prompts of one plan through the routers and, at the same time,
// some of them directly to the engines. output is the number of tokens of each
// answer.
func (m *measurement) runPhase(ctx context.Context, output int) (phase, error) {
	s := m.scenario
	s.OutputTokens = scenario.Range{Min: output, Max: output}
	plan := scenario.NewPlan(s, scenario.PlanOptions{Seed: m.options.Seed, Warmup: warmup, Measured: m.options.Measured})
	callers := client.New(client.Options{
		Plan: plan, Secret: m.secret, Callers: m.fleet.CallerAddresses(), Admin: m.fleet.ReadyAddresses(),
	})
	started := time.Now().Add(startDelay)
	processorBefore, measuredFrom := m.processorTime(), time.Now()
	p := phase{failures: make(map[string]int)}
	var wg sync.WaitGroup
	wg.Go(func() { callers.Run(ctx, started) })
	wg.Go(func() { p.direct = m.measureDirect(ctx, plan, started.Add(warmup)) })
	wg.Wait()
	idle := time.Duration(m.idleCores * float64(time.Since(measuredFrom)))
	p.activeProcessorTime = m.processorTime() - processorBefore - idle
	results, _ := callers.Results()
	for _, r := range results {
		p.requests++
		p.tokens += r.Tokens
		if r.Outcome != client.Complete || r.WrongText {
			m.options.Log.Warn().Str("code", r.Code).Str("detail", r.Detail).Msg("load: a request of the overhead measurement failed; counting it as a failure")
			p.failures[string(r.Outcome)+" "+r.Code]++
		} else if r.Prompt.At >= warmup {
			p.routed = append(p.routed, r.FirstText-r.Sent)
		}
	}
	return p, ctx.Err()
}

// processorTime returns the processor time that all routers and agents have used.
func (m *measurement) processorTime() time.Duration {
	routers, agents := m.fleet.ProcessorTime()
	return routers + agents
}

// measureDirect sends prompts of the plan directly to engines at a fixed rate from
// started on and returns their times to the first token. Requests that fail are left
// out.
func (m *measurement) measureDirect(ctx context.Context, plan *scenario.Plan, started time.Time) []time.Duration {
	texts := scenario.NewTexts(plan)
	random := rand.New(rand.NewPCG(m.options.Seed, directStream))
	var drivers []*httpengine.Driver
	for _, address := range m.fleet.EngineAddresses() {
		drivers = append(drivers, httpengine.New("http://"+address))
	}
	var mu sync.Mutex
	var durations []time.Duration
	var wg sync.WaitGroup
	interval := time.Second / directRequestsPerSecond
	for i := range int(m.options.Measured / interval) {
		time.Sleep(time.Until(started.Add(time.Duration(i) * interval)))
		p := plan.Prompts[random.IntN(len(plan.Prompts))]
		driver := drivers[random.IntN(len(drivers))]
		text := texts.Prompt(p)
		wg.Go(func() {
			ttft, err := timeToFirstToken(ctx, driver, text, p.Output)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			durations = append(durations, ttft)
		})
	}
	wg.Wait()
	return durations
}

// timeToFirstToken runs a prompt to its end and returns the time to its first token,
// 0 if the engine sent none.
func timeToFirstToken(ctx context.Context, driver *httpengine.Driver, text []byte, output int64) (time.Duration, error) {
	started := time.Now()
	run, err := driver.Run(ctx, engine.RunRequest{RequestID: "direct", Salt: directStream, Prompt: text, MaxTokens: output})
	if err != nil {
		return 0, err
	}
	defer func() { _ = run.Close() }()
	var first time.Duration
	for {
		event, err := run.Next()
		if errors.Is(err, io.EOF) {
			return first, nil
		}
		if err != nil {
			return 0, err
		}
		if event.Type == engine.EventTokens && first == 0 {
			first = time.Since(started)
		}
	}
}
