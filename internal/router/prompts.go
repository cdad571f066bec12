package router

import (
	"context"
	"errors"
	"math"
	"net/http"
	"sort"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/greengagegate/greengagegate/internal/dispatch"
	"github.com/greengagegate/greengagegate/internal/metrics"
	"github.com/greengagegate/greengagegate/internal/object"
	"github.com/greengagegate/greengagegate/internal/picker"
	"github.com/greengagegate/greengagegate/internal/quarantine"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/greengagegate/greengagegate/placement"
)

// prompt is an authenticated prompt with everything that routing needs.
type prompt struct {
	request  *promptRequest
	caller   caller
	customer *object.Customer
	route    *object.Route
	// versions are those to try, and version is the one in use.
	versions []*object.ModelVersion
	version  *object.ModelVersion
	tokens   int64
	hashes   []uint64
	// contentDigest is kept by digest.
	contentDigest uint64
}

func (s *Server) servePrompt(c *gin.Context, parse parser) {
	arrived := time.Now()
	set, p, failure := s.resolvePrompt(c, parse)
	if failure != nil {
		s.fail(c, failure)
		return
	}
	ctx, cancel := context.WithTimeout(c.Request.Context(), s.options.Limits.PromptTimeout)
	defer cancel()
	ctx, ended := s.keys.watch(ctx, p.caller.key, p.route.Open)
	defer ended()
	answer := newAnswer(c, p.request, s.options.Limits.WriteTimeout, arrived, p.customerName())
	if failure := s.runPrompt(ctx, set, p, answer, requestID(c)); failure != nil {
		s.failAnswer(c, answer, failure)
		return
	}
	metrics.Counter("router.prompts", "customer", p.customerName()).Inc(1)
}

// failAnswer reports a failure in the way that is still open: a status before
// the first byte, an explicit error event after it.
func (s *Server) failAnswer(c *gin.Context, answer answer, failure *apiError) {
	if !answer.started() {
		s.fail(c, failure)
		return
	}
	failure.RequestID = requestID(c)
	metrics.Counter("router.errors", "code", failure.Code).Inc(1)
	answer.abort(failure)
}

// resolvePrompt checks everything that needs no other process.
func (s *Server) resolvePrompt(c *gin.Context, parse parser) (*object.Set, *prompt, *apiError) {
	set := s.options.Source.Current()
	if set == nil {
		return nil, nil, noConfiguration()
	}
	who := identify(set, c.Request)
	body, failure := s.readBody(c)
	if failure != nil {
		return nil, nil, failure
	}
	if who.leaksKey(c.Request, body) {
		return nil, nil, keyInContent()
	}
	request, err := parse(body)
	if err != nil {
		return nil, nil, refuse(http.StatusBadRequest, "bad_request", "parse body", err.Error())
	}
	if failure := s.limitTokens(request); failure != nil {
		return nil, nil, failure
	}
	p := &prompt{request: request, caller: who}
	if failure := s.resolveRoute(set, p); failure != nil {
		return nil, nil, failure
	}
	return set, p, nil
}

func (s *Server) limitTokens(request *promptRequest) *apiError {
	if request.MaxTokens == 0 {
		request.MaxTokens = s.options.Limits.DefaultMaxTokens
	}
	if request.MaxTokens > s.options.Limits.MaxTokens {
		return refuse(http.StatusBadRequest, "max_tokens_too_large", "parse body", "max_tokens is above the limit")
	}
	return nil
}

func (s *Server) resolveRoute(set *object.Set, p *prompt) *apiError {
	p.route = set.ModelRoute(p.request.Model, p.caller.customer)
	if p.route == nil && p.caller.customer == "" {
		return p.caller.unauthorized()
	}
	if p.route == nil {
		return refuse(http.StatusNotFound, "model_unknown", "find route", "no route for model "+p.request.Model)
	}
	if failure := s.checkFresh(p.route); failure != nil {
		return failure
	}
	p.customer = billedCustomer(set, p.route, p.caller)
	p.versions = s.options.Picker.Versions(set, p.request.Model, p.route.Pool, p.customerName())
	if len(p.versions) == 0 {
		return refuse(http.StatusServiceUnavailable, "no_model_version", "find version", "no version of the model is published")
	}
	p.use(p.versions[0])
	return nil
}

// use sets the version and what follows from it.
func (p *prompt) use(version *object.ModelVersion) {
	p.version = version
	p.tokens = estimateTokens(len(p.request.Prompt), version.BytesPerToken)
	root := placement.Root(p.customerName(), p.request.Model, version.Weights)
	p.hashes = placement.Chain(root, p.request.Prompt, blockBytes(version))
}

// place returns the candidates for the first version that some upstream serves.
func (s *Server) place(ctx context.Context, set *object.Set, p *prompt, id string) ([]picker.Candidate, error) {
	var err error
	for _, version := range p.versions {
		if version != p.version {
			p.use(version)
		}
		var candidates []picker.Candidate
		candidates, err = s.options.Picker.Pick(ctx, set, p.forPicker(id))
		if !errors.Is(err, picker.ErrNoUpstream) {
			return candidates, err
		}
	}
	return nil, err
}

// checkFresh refuses keyed routes when withdrawn keys may have gone unseen.
func (s *Server) checkFresh(route *object.Route) *apiError {
	if route.Open || s.options.Source.Fresh() {
		return nil
	}
	failure := refuse(http.StatusServiceUnavailable, "config_stale", "check key", "the state of keys cannot be verified")
	failure.RetryAfter = time.Second
	return failure
}

// billedCustomer returns whose limit a request counts against: the caller's,
// or on an open route the route's own. It may be nil on open routes.
func billedCustomer(set *object.Set, route *object.Route, who caller) *object.Customer {
	if who.customer != "" {
		return set.Customers[who.customer]
	}
	return set.Customers[route.Customer]
}

func (p *prompt) customerName() string {
	if p.customer == nil {
		return ""
	}
	return p.customer.Name
}

func estimateTokens(bytes int, bytesPerToken float64) int64 {
	if bytesPerToken <= 0 {
		bytesPerToken = 1
	}
	return int64(math.Ceil(float64(bytes) / bytesPerToken))
}

func blockBytes(version *object.ModelVersion) int {
	return int(float64(version.BlockTokens) * version.BytesPerToken)
}

// runPrompt admits, places and runs a prompt.
func (s *Server) runPrompt(ctx context.Context, set *object.Set, p *prompt, answer answer, id string) *apiError {
	if refused := s.options.Prompter.Refused(p.digest()); refused != nil {
		return fromRefusal(refused.Refusal)
	}
	ticket, err := s.admit(ctx, p.customer, p.tokens+p.request.MaxTokens)
	if err != nil {
		return s.promptError(ctx, err, "admit", answer)
	}
	var used int64
	defer func() { ticket.Settle(used) }()
	candidates, err := s.place(ctx, set, p, id)
	if err != nil && !errors.Is(err, picker.ErrNoUpstream) {
		return s.promptError(ctx, err, "place", answer)
	}
	again := func(ctx context.Context) (dispatch.Placement, error) {
		candidates, err := s.place(ctx, set, p, id)
		return dispatch.Placement{Candidates: candidates, Request: p.forAgent(id)}, err
	}
	first := dispatch.Placement{Candidates: candidates, Request: p.forAgent(id)}
	end, err := s.options.Prompter.Run(ctx, first, again, answer)
	used = spentTokens(p, end, answer)
	if err != nil {
		return s.promptError(ctx, err, "run", answer)
	}
	return asFailure(answer.finish(end))
}

// spentTokens is what a request cost: what the engine counted, or the estimate
// for one that ended early.
func spentTokens(p *prompt, end *wirepb.RunEnd, answer answer) int64 {
	if end != nil && end.Usage != nil {
		return end.Usage.PromptTokens + end.Usage.CompletionTokens
	}
	return p.tokens + answer.tokenCount()
}

func asFailure(err error) *apiError {
	if err == nil {
		return nil
	}
	return &apiError{Status: http.StatusBadGateway, Code: "caller_gone", Message: err.Error(), Step: "write answer", Run: RunDone}
}

// promptError explains why a prompt ended, looking first at why its context did.
func (s *Server) promptError(ctx context.Context, err error, step string, answer answer) *apiError {
	run := RunNot
	if answer.started() || step == "run" {
		run = RunUnknown
	}
	if failure := keyFailure(ctx, step, run); failure != nil {
		return failure
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return &apiError{Status: http.StatusGatewayTimeout, Code: "deadline", Message: "the request took too long", Step: step, Run: run}
	}
	failure := fromError(err, step)
	if step != "run" && failure.Code == "failed" {
		failure.Status = http.StatusServiceUnavailable
		failure.Run = RunNot
	}
	return failure
}

func (p *prompt) forPicker(id string) picker.Prompt {
	return picker.Prompt{
		RequestID:    id,
		Customer:     p.customerName(),
		Model:        p.request.Model,
		Version:      p.version,
		Hashes:       p.hashes,
		PromptTokens: p.tokens,
		MaxTokens:    p.request.MaxTokens,
	}
}

func (p *prompt) forAgent(id string) *wirepb.RunRequest {
	return &wirepb.RunRequest{
		RequestId:      id,
		Customer:       p.customerName(),
		Model:          p.request.Model,
		Weights:        p.version.Weights,
		Prompt:         p.request.Prompt,
		MaxTokens:      p.request.MaxTokens,
		Priority:       p.route.Priority,
		BlockHashes:    p.hashes,
		PromptTokens:   p.tokens,
		CustomerWeight: p.weight(),
		Digest:         p.digest(),
	}
}

func (p *prompt) weight() float64 {
	if p.customer == nil || p.customer.Weight <= 0 {
		return 1
	}
	return p.customer.Weight
}

// digest identifies the prompt's content over its caller's repeats.
func (p *prompt) digest() uint64 {
	if p.contentDigest == 0 {
		p.contentDigest = quarantine.Digest([]byte("prompt"), []byte(p.customerName()), []byte(p.request.Model), p.request.Prompt)
	}
	return p.contentDigest
}

type modelEntry struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

// serveModels lists the models that the caller has a route to.
func (s *Server) serveModels(c *gin.Context) {
	set := s.options.Source.Current()
	if set == nil {
		s.fail(c, noConfiguration())
		return
	}
	who := identify(set, c.Request)
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, model := range set.Models() {
		if set.ModelRoute(model, who.customer) != nil {
			list.Data = append(list.Data, modelEntry{ID: model, Object: "model"})
		}
	}
	sort.Slice(list.Data, func(i, j int) bool { return list.Data[i].ID < list.Data[j].ID })
	c.JSON(http.StatusOK, list)
}

func noConfiguration() *apiError {
	failure := refuse(http.StatusServiceUnavailable, "no_configuration", "read configuration", "no configuration has arrived yet")
	failure.RetryAfter = time.Second
	return failure
}

func keyInContent() *apiError {
	return refuse(http.StatusBadRequest, "key_in_content", "check content", "the caller's key stands in the path, the query or the body")
}
