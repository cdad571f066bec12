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

// prompt is an authenticated request with the data that routing needs.
type prompt struct {
	request  *promptRequest
	caller   callerIdentity
	customer *object.Customer
	route    *object.Route
	// versions are the model versions that the request may use, in the order in
	// which they are tried. version is the one in use.
	versions []*object.ModelVersion
	version  *object.ModelVersion
	// tokens is the estimated number of tokens of the prompt.
	tokens int64
	// hashes has one hash for each whole block of the prompt.
	hashes []uint64
	// contentDigest is the cached result of digest, or 0 before the first call.
	contentDigest uint64
}

// servePrompt handles a completion or chat completion request.
func (s *Server) servePrompt(c *gin.Context, parse parser) {
	arrived := time.Now()
	set, p, failure := s.resolvePrompt(c, parse)
	if failure != nil {
		s.writeError(c, failure)
		return
	}
	ctx, cancel := context.WithTimeout(c.Request.Context(), s.options.Limits.PromptTimeout)
	defer cancel()
	ctx, stopWatching := s.keyWatcher.watch(ctx, p.caller.key, p.route.Open)
	defer stopWatching()
	response := newPromptResponse(c, p.request, s.options.Limits.WriteTimeout, arrived, p.customerName())
	if failure := s.runPrompt(ctx, set, p, response, requestID(c)); failure != nil {
		s.endWithError(c, response, failure)
		return
	}
	metrics.Counter("router.prompts", "customer", p.customerName()).Inc(1)
}

// endWithError reports a failure to the caller: as an error response if the response
// has not started, or else as an error event in the stream.
func (s *Server) endWithError(c *gin.Context, response promptResponse, failure *apiError) {
	if !response.hasStarted() {
		s.writeError(c, failure)
		return
	}
	failure.RequestID = requestID(c)
	metrics.Counter("router.errors", "code", failure.Code).Inc(1)
	response.abort(failure)
}

// resolvePrompt authenticates the caller, reads and parses the request, and resolves
// its route and model versions. These checks involve no other process.
func (s *Server) resolvePrompt(c *gin.Context, parse parser) (*object.Set, *prompt, *apiError) {
	set := s.options.Source.Current()
	if set == nil {
		return nil, nil, noConfigurationError()
	}
	caller := identifyCaller(set, c.Request)
	body, failure := s.readBody(c)
	if failure != nil {
		return nil, nil, failure
	}
	if caller.exposesKey(c.Request, body) {
		return nil, nil, keyInContentError()
	}
	request, err := parse(body)
	if err != nil {
		return nil, nil, newRefusal(http.StatusBadRequest, "bad_request", "parse body", err.Error())
	}
	if failure := s.applyTokenLimits(request); failure != nil {
		return nil, nil, failure
	}
	p := &prompt{request: request, caller: caller}
	if failure := s.resolveRoute(set, p); failure != nil {
		return nil, nil, failure
	}
	return set, p, nil
}

// applyTokenLimits sets the default limit of new tokens if the request specifies
// none, and returns an error if the limit is too large.
func (s *Server) applyTokenLimits(request *promptRequest) *apiError {
	if request.MaxTokens == 0 {
		request.MaxTokens = s.options.Limits.DefaultMaxTokens
	}
	if request.MaxTokens > s.options.Limits.MaxTokens {
		return newRefusal(http.StatusBadRequest, "max_tokens_too_large", "parse body", "max_tokens is above the limit")
	}
	return nil
}

// resolveRoute sets the route, the customer and the model versions of p.
func (s *Server) resolveRoute(set *object.Set, p *prompt) *apiError {
	p.route = set.ModelRoute(p.request.Model, p.caller.customer)
	if p.route == nil && p.caller.customer == "" {
		return p.caller.unauthorizedError()
	}
	if p.route == nil {
		return newRefusal(http.StatusNotFound, "model_unknown", "find route", "no route for model "+p.request.Model)
	}
	if failure := s.checkKeysVerifiable(p.route); failure != nil {
		return failure
	}
	p.customer = billedCustomer(set, p.route, p.caller)
	p.versions = s.options.Picker.Versions(set, p.request.Model, p.route.Pool, p.customerName())
	if len(p.versions) == 0 {
		return newRefusal(http.StatusServiceUnavailable, "no_model_version", "find version", "no version of the model is published")
	}
	p.setVersion(p.versions[0])
	return nil
}

// setVersion sets the model version and the fields that depend on it: the token
// estimate and the block hashes.
func (p *prompt) setVersion(version *object.ModelVersion) {
	p.version = version
	p.tokens = estimateTokens(len(p.request.Prompt), version.BytesPerToken)
	root := placement.ChainRoot(p.customerName(), p.request.Model, version.Weights)
	p.hashes = placement.BlockHashes(root, p.request.Prompt, bytesPerBlock(version))
}

// pickCandidates returns the candidate upstreams for the first model version that
// at least one upstream can serve, and sets that version. If no upstream can serve any
// of the versions, it returns picker.ErrNoUpstream. Any other error is returned at once.
func (s *Server) pickCandidates(ctx context.Context, set *object.Set, p *prompt, id string) ([]picker.Candidate, error) {
	var err error
	for _, version := range p.versions {
		if version != p.version {
			p.setVersion(version)
		}
		var candidates []picker.Candidate
		candidates, err = s.options.Picker.Pick(ctx, set, p.pickerPrompt(id))
		if !errors.Is(err, picker.ErrNoUpstream) {
			return candidates, err
		}
	}
	return nil, err
}

// checkKeysVerifiable returns an error for a route that requires a key if the
// configuration is stale: the key may have been withdrawn without the router
// knowing.
func (s *Server) checkKeysVerifiable(route *object.Route) *apiError {
	if route.Open || s.options.Source.IsFresh() {
		return nil
	}
	failure := newRefusal(http.StatusServiceUnavailable, "config_stale", "check key", "the state of keys cannot be verified")
	failure.RetryAfter = time.Second
	return failure
}

// billedCustomer returns the Customer whose limit a request counts against: the
// caller's. It is nil for a caller without a valid key, who can use only open routes,
// which have no customer.
func billedCustomer(set *object.Set, route *object.Route, caller callerIdentity) *object.Customer {
	if caller.customer != "" {
		return set.Customers[caller.customer]
	}
	return set.Customers[route.Customer]
}

// customerName returns the name of the customer, or "" if there is none.
func (p *prompt) customerName() string {
	if p.customer == nil {
		return ""
	}
	return p.customer.Name
}

// estimateTokens returns the number of tokens of a text of the given size, rounded
// up. If bytesPerToken is not set, each byte counts as one token.
func estimateTokens(bytes int, bytesPerToken float64) int64 {
	if bytesPerToken <= 0 {
		bytesPerToken = 1
	}
	return int64(math.Ceil(float64(bytes) / bytesPerToken))
}

// bytesPerBlock returns the estimated size in bytes of a block of the prompt.
func bytesPerBlock(version *object.ModelVersion) int {
	return int(float64(version.BlockTokens) * version.BytesPerToken)
}

// runPrompt admits the prompt, picks candidates, runs it and writes the response. It
// returns nil if the response is complete. It settles the reservation with the
// tokens that were used.
func (s *Server) runPrompt(ctx context.Context, set *object.Set, p *prompt, response promptResponse, id string) *apiError {
	if refused := s.options.Prompter.QuarantineFailure(p.digest()); refused != nil {
		return errorFromRefusal(refused.Refusal)
	}
	ticket, err := s.admit(ctx, p.customer, p.tokens+p.request.MaxTokens)
	if err != nil {
		return s.promptError(ctx, err, "admit", response)
	}
	var used int64
	defer func() { ticket.Settle(used) }()
	if failure := s.checkStopping(); failure != nil {
		return failure
	}
	candidates, err := s.pickCandidates(ctx, set, p, id)
	if err != nil && !errors.Is(err, picker.ErrNoUpstream) {
		return s.promptError(ctx, err, "place", response)
	}
	// Without a candidate the prompt is still passed to Run, which calls placeAgain after
	// a backoff.
	placeAgain := func(ctx context.Context) (dispatch.Placement, error) {
		candidates, err := s.pickCandidates(ctx, set, p, id)
		return dispatch.Placement{Candidates: candidates, Request: p.runRequest(id)}, err
	}
	first := dispatch.Placement{Candidates: candidates, Request: p.runRequest(id)}
	end, err := s.options.Prompter.Run(ctx, first, placeAgain, response)
	used = usedTokens(p, end, response)
	if err != nil {
		return s.promptError(ctx, err, "run", response)
	}
	return responseWriteError(response.finish(end))
}

// usedTokens returns the number of tokens that count against the limit: the number
// that the engine reported. Without such a report, for example if the request ended
// early or no engine ran it, it is the estimate for the prompt plus the tokens of the
// response so far.
func usedTokens(p *prompt, end *wirepb.RunEnd, response promptResponse) int64 {
	if end != nil && end.Usage != nil {
		return end.Usage.PromptTokens + end.Usage.CompletionTokens
	}
	return p.tokens + response.tokenCount()
}

// responseWriteError converts an error of writing the response, after the prompt has
// run, to an error response. It returns nil if err is nil.
func responseWriteError(err error) *apiError {
	if err == nil {
		return nil
	}
	return &apiError{Status: http.StatusBadGateway, Code: "caller_gone", Message: err.Error(), Step: "write answer", Run: RunStateRan}
}

// promptError converts an error in the given step to an error response. If ctx
// has ended because the key became invalid or the deadline passed, this is reported in
// place of err.
func (s *Server) promptError(ctx context.Context, err error, step string, response promptResponse) *apiError {
	run := RunStateNotRun
	if response.hasStarted() || step == "run" {
		run = RunStateUnknown
	}
	if failure := keyError(ctx, step, run); failure != nil {
		return failure
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return &apiError{Status: http.StatusGatewayTimeout, Code: "deadline", Message: "the request took too long", Step: step, Run: run}
	}
	failure := errorFromCause(err, step)
	if step != "run" && failure.Code == "failed" {
		failure.Status = http.StatusServiceUnavailable
		failure.Run = RunStateNotRun
	}
	return failure
}

// pickerPrompt returns the prompt in the form that the picker uses.
func (p *prompt) pickerPrompt(id string) picker.Prompt {
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

// runRequest returns the request that is sent to agents.
func (p *prompt) runRequest(id string) *wirepb.RunRequest {
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
		CustomerWeight: p.customerWeight(),
		Digest:         p.digest(),
	}
}

// customerWeight returns the weight of the customer. The default is 1.
func (p *prompt) customerWeight() float64 {
	if p.customer == nil || p.customer.Weight <= 0 {
		return 1
	}
	return p.customer.Weight
}

// digest returns a digest of the customer, the model and the prompt. It is the same
// if the caller repeats the request.
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
		s.writeError(c, noConfigurationError())
		return
	}
	caller := identifyCaller(set, c.Request)
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, model := range set.Models() {
		if set.ModelRoute(model, caller.customer) != nil {
			list.Data = append(list.Data, modelEntry{ID: model, Object: "model"})
		}
	}
	sort.Slice(list.Data, func(i, j int) bool { return list.Data[i].ID < list.Data[j].ID })
	c.JSON(http.StatusOK, list)
}

// noConfigurationError returns the error for a request that arrives before the first
// configuration.
func noConfigurationError() *apiError {
	failure := newRefusal(http.StatusServiceUnavailable, "no_configuration", "read configuration", "no configuration has arrived yet")
	failure.RetryAfter = time.Second
	return failure
}

// keyInContentError returns the error for a request whose content includes the
// caller's key.
func keyInContentError() *apiError {
	return newRefusal(http.StatusBadRequest, "key_in_content", "check content", "the caller's key stands in the path, the query or the body")
}
