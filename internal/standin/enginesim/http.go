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
	// runEventSlack is the room for the events of a run beside its tokens.
	runEventSlack = 4
	maxRunTokens  = 1 << 16
)

var errTokenRange = errors.New("max_tokens out of range")

// handler serves one life of the engine.
type handler struct {
	ctx     context.Context
	in      *instance
	history *loadHistory
}

func newHandler(ctx context.Context, in *instance, history *loadHistory) http.Handler {
	gin.SetMode(gin.ReleaseMode)
	h := &handler{ctx: ctx, in: in, history: history}
	router := gin.New()
	router.POST(httpengine.PathRun, h.run)
	router.POST(httpengine.PathCancel, h.cancel)
	router.GET(httpengine.PathLoad, h.load)
	router.GET(httpengine.PathEvents, h.events)
	router.POST(httpengine.PathImport, h.blocks(in.importBlocks))
	router.POST(httpengine.PathExport, h.blocks(in.exportBlocks))
	router.POST(httpengine.PathStored, h.blocks(in.storedBlocks))
	router.POST(httpengine.PathOrder, h.order)
	return router
}

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
	if !h.in.weights.has(request.Weights) {
		refuse(c, http.StatusConflict, httpengine.CodeNotLoaded, engine.ErrNotLoaded)
		return
	}
	j := h.newJob(c.Request.Context(), request)
	defer j.cancel()
	if err := h.in.submit(j); err != nil {
		refuse(c, http.StatusServiceUnavailable, httpengine.CodeBusy, err)
		return
	}
	h.stream(c, j)
}

func (h *handler) newJob(parent context.Context, request engine.RunRequest) *job {
	ctx, cancel := context.WithCancel(parent)
	return &job{
		ctx:       ctx,
		cancel:    cancel,
		request:   request,
		hashes:    blockHashes(h.in.options, request.Salt, request.Prompt),
		digest:    answer.Digest(request.Prompt),
		generated: request.ResumeOffset,
		events:    make(chan engine.RunEvent, request.MaxTokens+runEventSlack),
	}
}

// stream writes the run's events as they come. The end event is left to the end
// of the answer, so that both go out together.
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
	if !decode(c, &request) {
		return
	}
	h.in.cancelJob(request.RequestID)
	c.JSON(http.StatusOK, struct{}{})
}

func (h *handler) load(c *gin.Context) { c.JSON(http.StatusOK, h.history.report()) }

// events streams cache events until the reader leaves or the engine crashes.
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
		events, err := h.in.events.next(c.Request.Context(), after)
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

// blocks serves a request on cache blocks.
func (h *handler) blocks(do func(context.Context, httpengine.BlocksRequest) (int, error)) gin.HandlerFunc {
	return func(c *gin.Context) {
		var request httpengine.BlocksRequest
		if !decode(c, &request) {
			return
		}
		count, err := do(c.Request.Context(), request)
		if err != nil {
			refuse(c, http.StatusServiceUnavailable, httpengine.CodeBusy, err)
			return
		}
		c.JSON(http.StatusOK, engine.Transfer{Blocks: count})
	}
}

// order accepts an order; loading goes on after the answer.
func (h *handler) order(c *gin.Context) {
	var order engine.Order
	if !decode(c, &order) {
		return
	}
	stale := order.Fence < h.in.weights.highestFence()
	if err := h.in.weights.obey(order, h.in.options.ChecksFence); errors.Is(err, engine.ErrStaleFence) {
		refuse(c, http.StatusPreconditionFailed, httpengine.CodeStaleFence, err)
		return
	}
	h.in.stats.orders.Add(1)
	if stale {
		h.in.stats.staleOrders.Add(1)
	}
	switch order.Kind {
	case engine.OrderLoad:
		go h.in.weights.load(h.ctx, order.Weights)
	case engine.OrderUnload:
		h.in.weights.unload(order.Weights)
	}
	c.JSON(http.StatusOK, struct{}{})
}

func decode(c *gin.Context, out any) bool {
	if err := json.NewDecoder(c.Request.Body).Decode(out); err != nil {
		refuse(c, http.StatusBadRequest, httpengine.CodeBadRequest, err)
		return false
	}
	return true
}

// importBlocks copies from the KV store what the cache lacks of the leading
// blocks and returns how many of them it then holds.
func (in *instance) importBlocks(ctx context.Context, request httpengine.BlocksRequest) (int, error) {
	in.mu.Lock()
	held := in.cache.leading(request.Hashes)
	in.cache.touch(request.Hashes[:held], time.Now())
	in.mu.Unlock()
	if in.options.KV == nil {
		return held, nil
	}
	copied, err := in.options.KV.Import(ctx, request.Hashes[held:])
	if err != nil {
		return held, err
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	in.store(request.Salt, request.Hashes[:held+copied])
	return held + copied, nil
}

// exportBlocks copies the leading blocks that the cache holds to the KV store.
func (in *instance) exportBlocks(ctx context.Context, request httpengine.BlocksRequest) (int, error) {
	if in.options.KV == nil {
		return 0, nil
	}
	in.mu.Lock()
	held := in.cache.leading(request.Hashes)
	in.mu.Unlock()
	return held, in.options.KV.Export(ctx, request.Hashes[:held])
}

func (in *instance) storedBlocks(_ context.Context, request httpengine.BlocksRequest) (int, error) {
	if in.options.KV == nil {
		return 0, nil
	}
	return in.options.KV.Stored(request.Hashes), nil
}
