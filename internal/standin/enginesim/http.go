package enginesim

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/greengagegate/greengagegate/internal/engine"
	"github.com/greengagegate/greengagegate/internal/engine/httpengine"
	"github.com/greengagegate/greengagegate/internal/standin/answer"
)

const (
	// runEventSlack is the buffer space for a run's events other than tokens.
	runEventSlack = 4
	// maxRunTokens limits the max_tokens of a run.
	maxRunTokens = 1 << 16
)

var errTokenRange = errors.New("max_tokens out of range")

// handler serves the HTTP interface of one incarnation of the engine.
type handler struct {
	ctx      context.Context // ends with the incarnation
	instance *instance
	history  *loadHistory
}

func newHandler(ctx context.Context, e *instance, history *loadHistory) http.Handler {
	gin.SetMode(gin.ReleaseMode)
	h := &handler{ctx: ctx, instance: e, history: history}
	router := gin.New()
	router.POST(httpengine.PathRun, h.run)
	router.POST(httpengine.PathCancel, h.cancel)
	router.GET(httpengine.PathLoad, h.load)
	router.GET(httpengine.PathEvents, h.events)
	router.POST(httpengine.PathImport, h.blocksHandler(e.importBlocks))
	router.POST(httpengine.PathExport, h.blocksHandler(e.exportBlocks))
	router.POST(httpengine.PathStored, h.blocksHandler(e.countInCacheStore))
	router.POST(httpengine.PathOrder, h.order)
	return router
}

// refuse responds with a refusal whose message is the text of err.
func refuse(c *gin.Context, status int, code string, err error) {
	c.JSON(status, httpengine.Refusal{Code: code, Message: err.Error()})
}

func (h *handler) run(c *gin.Context) {
	request, err := httpengine.ReadRun(c.Request.Body)
	if err != nil {
		refuse(c, http.StatusBadRequest, httpengine.CodeBadRequest, err)
		return
	}
	if request.MaxTokens < 0 || request.MaxTokens > maxRunTokens || request.ResumeOffset < 0 {
		refuse(c, http.StatusBadRequest, httpengine.CodeBadRequest, errTokenRange)
		return
	}
	if !h.instance.weights.has(request.Weights) {
		refuse(c, http.StatusConflict, httpengine.CodeNotLoaded, engine.ErrNotLoaded)
		return
	}
	j := h.newJob(c.Request.Context(), request)
	defer j.cancel()
	if err := h.instance.submit(j); err != nil {
		refuse(c, http.StatusServiceUnavailable, httpengine.CodeBusy, err)
		return
	}
	h.stream(c, j)
}

// newJob returns a job for a request. Its context ends with parent.
func (h *handler) newJob(parent context.Context, request engine.RunRequest) *job {
	ctx, cancel := context.WithCancel(parent)
	return &job{
		ctx:       ctx,
		cancel:    cancel,
		request:   request,
		hashes:    blockHashes(h.instance.options, request.Salt, request.Prompt),
		digest:    answer.Digest(request.Prompt),
		generated: request.ResumeOffset,
		events:    make(chan engine.RunEvent, request.MaxTokens+runEventSlack),
	}
}

// stream writes the run's events as they occur. It does not flush the end event, so that
// the event is sent together with the end of the response. If the run is cancelled or the
// engine crashes, stream aborts the connection.
func (h *handler) stream(c *gin.Context, j *job) {
	c.Header("Content-Type", "application/x-ndjson")
	c.Status(http.StatusOK)
	c.Writer.Flush()
	var line []byte
	for {
		select {
		case event := <-j.events:
			line = httpengine.AppendRunEvent(line[:0], event)
			if _, err := c.Writer.Write(line); err != nil || event.Type == engine.EventEnd {
				return
			}
			c.Writer.Flush()
		case <-j.ctx.Done():
			panic(http.ErrAbortHandler)
		case <-h.ctx.Done():
			panic(http.ErrAbortHandler)
		}
	}
}

func (h *handler) cancel(c *gin.Context) {
	var request httpengine.CancelRequest
	if !decodeBody(c, &request) {
		return
	}
	h.instance.cancelJob(request.RequestID)
	c.JSON(http.StatusOK, struct{}{})
}

func (h *handler) load(c *gin.Context) { c.JSON(http.StatusOK, h.history.report()) }

// events streams cache events until the client disconnects or the engine crashes.
func (h *handler) events(c *gin.Context) {
	after, err := strconv.ParseUint(c.DefaultQuery("after", "0"), 10, 64)
	if err != nil {
		refuse(c, http.StatusBadRequest, httpengine.CodeBadRequest, err)
		return
	}
	c.Header("Content-Type", "application/x-ndjson")
	c.Status(http.StatusOK)
	c.Writer.Flush()
	encoder := json.NewEncoder(c.Writer)
	for {
		events, err := h.instance.events.waitEvents(c.Request.Context(), after)
		if err != nil {
			return
		}
		for _, event := range events {
			if err := encoder.Encode(event); err != nil {
				return
			}
			after = event.Sequence
		}
		c.Writer.Flush()
	}
}

// blocksHandler returns a handler that performs operation on the requested cache blocks
// and responds with the number of blocks that it returns.
func (h *handler) blocksHandler(operation func(context.Context, httpengine.BlocksRequest) (int, error)) gin.HandlerFunc {
	return func(c *gin.Context) {
		var request httpengine.BlocksRequest
		if !decodeBody(c, &request) {
			return
		}
		count, err := operation(c.Request.Context(), request)
		if err != nil {
			refuse(c, http.StatusServiceUnavailable, httpengine.CodeBusy, err)
			return
		}
		c.JSON(http.StatusOK, engine.Transfer{Blocks: count})
	}
}

// order applies an order. The response does not wait until weights are loaded.
func (h *handler) order(c *gin.Context) {
	var order engine.Order
	if !decodeBody(c, &order) {
		return
	}
	stale := order.Fence < h.instance.weights.highestFencingToken()
	if err := h.instance.weights.applyOrder(order, h.instance.options.ChecksFence); errors.Is(err, engine.ErrStaleFence) {
		refuse(c, http.StatusPreconditionFailed, httpengine.CodeStaleFence, err)
		return
	}
	h.instance.stats.orders.Add(1)
	if stale {
		h.instance.stats.staleOrders.Add(1)
	}
	switch order.Kind {
	case engine.OrderLoad:
		go h.instance.weights.loadWeights(h.ctx, order.Weights)
	case engine.OrderUnload:
		h.instance.weights.unload(order.Weights)
	}
	c.JSON(http.StatusOK, struct{}{})
}

// decodeBody decodes the request body into out. It responds with status 400 and returns
// false when the body is malformed.
func decodeBody(c *gin.Context, out any) bool {
	if err := json.NewDecoder(c.Request.Body).Decode(out); err != nil {
		refuse(c, http.StatusBadRequest, httpengine.CodeBadRequest, err)
		return false
	}
	return true
}

// importBlocks copies the blocks that follow the cached prefix of request.Hashes from the
// cache store into the cache, up to the first block that the store lacks. It returns the
// length of the cached prefix after the copy. Without a cache store it copies nothing.
func (e *instance) importBlocks(ctx context.Context, request httpengine.BlocksRequest) (int, error) {
	e.mu.Lock()
	cached := e.cache.countLeading(request.Hashes)
	e.cache.touch(request.Hashes[:cached], time.Now())
	e.mu.Unlock()
	if e.options.CacheStore == nil {
		return cached, nil
	}
	copied, err := e.options.CacheStore.Import(ctx, request.Hashes[cached:])
	if err != nil {
		return cached, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.addToCache(request.Salt, request.Hashes[:cached+copied])
	return cached + copied, nil
}

// exportBlocks copies the cached prefix of request.Hashes to the cache store and returns
// its length in blocks. Without a cache store it returns 0.
func (e *instance) exportBlocks(ctx context.Context, request httpengine.BlocksRequest) (int, error) {
	if e.options.CacheStore == nil {
		return 0, nil
	}
	e.mu.Lock()
	cached := e.cache.countLeading(request.Hashes)
	e.mu.Unlock()
	return cached, e.options.CacheStore.Export(ctx, request.Hashes[:cached])
}

// countInCacheStore returns the number of leading blocks of request.Hashes that the
// cache store holds, 0 without a cache store.
func (e *instance) countInCacheStore(_ context.Context, request httpengine.BlocksRequest) (int, error) {
	if e.options.CacheStore == nil {
		return 0, nil
	}
	return e.options.CacheStore.CountStored(request.Hashes), nil
}
