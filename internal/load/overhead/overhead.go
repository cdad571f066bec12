// Package overhead measures what router and agent add to an idle engine: time
// to the first token, and processor time for each token event.
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
	requestsPerSecond = 200
	directPerSecond   = 50
	shortOutput       = 8
	longOutput        = 72
	// prefillRate makes the engines' own part negligible.
	prefillRate = 1e9
	// amplyRated is a limit that no customer reaches.
	amplyRated = 1e9

	warmup     = 2 * time.Second
	idleTime   = 4 * time.Second
	startDelay = 500 * time.Millisecond
	directSeed = 77
)

// Options describes the measurement.
type Options struct {
	Seed     uint64
	Measured time.Duration
	BinDir   string
	Net      int
	Log      zerolog.Logger
}

// Figures is the outcome.
type Figures struct {
	RequestsPerSecond int                `json:"requests_per_second"`
	Direct            evaluate.Quantiles `json:"direct_ttft"`
	Routed            evaluate.Quantiles `json:"routed_ttft"`
	// AddedP50 and AddedP99 are the differences of the quantiles.
	AddedP50 float64 `json:"added_p50_ms"`
	AddedP99 float64 `json:"added_p99_ms"`
	// CPUPerTokenEvent is the slope of the processor time of all routers and
	// agents between streams of few and of many tokens, each of which is an event
	// of its engine.
	CPUPerTokenEvent float64 `json:"cpu_us_per_token_event"`
	CPUPerRequest    float64 `json:"cpu_us_per_request"`
	// IdleCPUPercent is what a router or agent uses without requests, in percent of a core.
	IdleCPUPercent float64 `json:"idle_cpu_percent_per_process"`
	// LoopbackCost is what this machine takes for one small message between two
	// connected sockets, for comparison.
	LoopbackCost float64        `json:"cpu_us_per_loopback_message"`
	Failures     map[string]int `json:"failures,omitempty"`
}

// Measure starts a fleet of the scenario's size without delays between zones and measures it.
func Measure(ctx context.Context, o Options) (figures Figures, err error) {
	workDir, err := os.MkdirTemp("", "greengage-overhead-")
	if err != nil {
		return Figures{}, err
	}
	s, err := scenario.Named("limon")
	if err != nil {
		return Figures{}, err
	}
	s.PromptsPerSecond, s.ChargesPerSecond, s.ClientDelay = requestsPerSecond, 0, 0
	options := fleet.Options{
		Scenario: s, Policy: "prefix", Seed: o.Seed, BinDir: o.BinDir, WorkDir: workDir, Net: o.Net,
		Direct: true, PrefillRate: prefillRate, DecodeBase: fleet.DefaultDecodeBase,
	}
	for range s.Shares {
		options.Rates = append(options.Rates, amplyRated)
		options.Bursts = append(options.Bursts, amplyRated)
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

type measurement struct {
	options  Options
	scenario scenario.Scenario
	fleet    *fleet.Manager
	secret   func(int) string
	// idleCores is the number of cores that all processes together use when idle.
	idleCores float64
}

// measureIdle measures what the processes use without requests.
func (m *measurement) measureIdle(ctx context.Context) error {
	before := m.processorTime()
	if err := pause.For(ctx, idleTime); err != nil {
		return err
	}
	m.idleCores = (m.processorTime() - before).Seconds() / idleTime.Seconds()
	return nil
}

// phase is one part of the measurement, with one length of answers.
type phase struct {
	routed, direct []time.Duration
	requests       int
	tokens         int64
	failures       map[string]int
	processor      time.Duration // without what the processes use when idle
}

func (m *measurement) run(ctx context.Context) (Figures, error) {
	if err := m.measureIdle(ctx); err != nil {
		return Figures{}, err
	}
	loopback, err := loopbackCost()
	if err != nil {
		return Figures{}, err
	}
	short, err := m.phase(ctx, shortOutput)
	if err != nil {
		return Figures{}, err
	}
	long, err := m.phase(ctx, longOutput)
	if err != nil {
		return Figures{}, err
	}
	f := Figures{
		RequestsPerSecond: requestsPerSecond,
		Direct:            evaluate.QuantilesOf(append(short.direct, long.direct...)),
		Routed:            evaluate.QuantilesOf(append(short.routed, long.routed...)),
		IdleCPUPercent:    100 * m.idleCores / float64(m.fleet.Processes()),
		LoopbackCost:      loopback,
		Failures:          short.failures,
	}
	for code, count := range long.failures {
		f.Failures[code] += count
	}
	f.AddedP50 = f.Routed.P50 - f.Direct.P50
	f.AddedP99 = f.Routed.P99 - f.Direct.P99
	if extra := long.tokens - short.tokens; extra > 0 {
		f.CPUPerTokenEvent = microseconds(long.processor-short.processor) / float64(extra)
	}
	if short.requests > 0 {
		f.CPUPerRequest = microseconds(short.processor)/float64(short.requests) - shortOutput*f.CPUPerTokenEvent
	}
	return f, nil
}

func microseconds(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1000 }

// phase sends one plan through the routers and, beside it, some prompts straight to the engines.
func (m *measurement) phase(ctx context.Context, output int) (phase, error) {
	s := m.scenario
	s.OutputTokens = scenario.Range{Min: output, Max: output}
	plan := scenario.NewPlan(s, scenario.PlanOptions{Seed: m.options.Seed, Warmup: warmup, Measured: m.options.Measured})
	callers := client.New(client.Options{
		Plan: plan, Secret: m.secret, Callers: m.fleet.CallerAddresses(), Admin: m.fleet.ReadyAddresses(),
	})
	started := time.Now().Add(startDelay)
	before, began := m.processorTime(), time.Now()
	p := phase{failures: make(map[string]int)}
	var all sync.WaitGroup
	all.Go(func() { callers.Run(ctx, started) })
	all.Go(func() { p.direct = m.direct(ctx, plan, started.Add(warmup)) })
	all.Wait()
	idle := time.Duration(m.idleCores * float64(time.Since(began)))
	p.processor = m.processorTime() - before - idle
	results, _ := callers.Results()
	for _, r := range results {
		p.requests++
		p.tokens += r.Tokens
		if r.Outcome != client.Complete || r.WrongText {
			m.options.Log.Warn().Str("code", r.Code).Str("detail", r.Detail).Msg("load: request failed")
			p.failures[string(r.Outcome)+" "+r.Code]++
		} else if r.Prompt.At >= warmup {
			p.routed = append(p.routed, r.FirstByte-r.Sent)
		}
	}
	return p, ctx.Err()
}

func (m *measurement) processorTime() time.Duration {
	routers, agents := m.fleet.ProcessorTime()
	return routers + agents
}

// direct sends prompts straight to engines and returns their times to the first token.
func (m *measurement) direct(ctx context.Context, plan *scenario.Plan, started time.Time) []time.Duration {
	texts := scenario.NewTexts(plan)
	random := rand.New(rand.NewPCG(m.options.Seed, directSeed))
	var drivers []*httpengine.Driver
	for _, address := range m.fleet.EngineAddresses() {
		drivers = append(drivers, httpengine.New("http://"+address))
	}
	var mu sync.Mutex
	var durations []time.Duration
	var all sync.WaitGroup
	every := time.Second / directPerSecond
	for i := range int(m.options.Measured / every) {
		time.Sleep(time.Until(started.Add(time.Duration(i) * every)))
		p := plan.Prompts[random.IntN(len(plan.Prompts))]
		driver := drivers[random.IntN(len(drivers))]
		text := texts.Prompt(p)
		all.Go(func() {
			took, err := firstToken(ctx, driver, text, p.Output)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			durations = append(durations, took)
		})
	}
	all.Wait()
	return durations
}

// firstToken runs a prompt to its end and returns the time to its first token.
func firstToken(ctx context.Context, driver *httpengine.Driver, text []byte, output int64) (time.Duration, error) {
	started := time.Now()
	run, err := driver.Run(ctx, engine.RunRequest{RequestID: "direct", Salt: directSeed, Prompt: text, MaxTokens: output})
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
