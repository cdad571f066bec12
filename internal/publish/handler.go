package publish

import (
	"errors"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/gin-gonic/gin/binding"
	"github.com/greengagegate/greengagegate/internal/bodymem"
	"github.com/greengagegate/greengagegate/internal/configsync"
	"github.com/greengagegate/greengagegate/internal/object"
	"github.com/greengagegate/greengagegate/internal/status"
	"github.com/greengagegate/greengagegate/membership"
)

const (
	// maxRequestBytes is the largest body of a request.
	maxRequestBytes = 16 << 20
	// maxBodiesBytes bounds the memory of the bodies of all requests; one alone may exceed it.
	maxBodiesBytes = 16 << 20
	// bodyCopies is the number of times that a body is in memory at once: as it was received,
	// parsed, and encoded for the store.
	bodyCopies = 3
	// bodyTimeout bounds the time to read a body.
	bodyTimeout = 20 * time.Second
)

// Handler serves the operators' API of one process.
type Handler struct {
	publisher     *Publisher
	manager       *configsync.Manager
	view          membership.View
	statusQuerier status.Querier
	bodies        *bodymem.Budget
}

// NewHandler returns a Handler that publishes through publisher and shows what
// manager, view and statusQuerier know.
func NewHandler(publisher *Publisher, manager *configsync.Manager, view membership.View, statusQuerier status.Querier) *Handler {
	return &Handler{publisher: publisher, manager: manager, view: view, statusQuerier: statusQuerier, bodies: bodymem.NewBudget(maxBodiesBytes)}
}

// Register adds the routes of the API to r, below /operator/v1.
func (h *Handler) Register(r gin.IRouter) {
	group := r.Group("/operator/v1")
	group.POST("/publish", h.publish)
	group.GET("/objects", h.objects)
	group.GET("/history", h.history)
	group.GET("/status", h.status)
	group.POST("/upstreams/:name/drain", h.drain)
}

// httpStatus is the HTTP status code of each outcome.
var httpStatus = map[Outcome]int{
	OutcomeAccepted:  http.StatusOK,
	OutcomeUnchanged: http.StatusOK,
	OutcomeValid:     http.StatusOK,
	OutcomeInvalid:   http.StatusUnprocessableEntity,
	OutcomeConflict:  http.StatusConflict,
	OutcomeNotRun:    http.StatusServiceUnavailable,
	OutcomeUnknown:   http.StatusGatewayTimeout,
}

func (h *Handler) publish(c *gin.Context) {
	var request Request
	release, ok := h.readRequest(c, &request)
	defer release()
	if !ok {
		return
	}
	result := h.publisher.Publish(c.Request.Context(), request)
	c.JSON(httpStatus[result.Outcome], result)
}

// readRequest reads the body of a request into request, and refuses the request if that fails.
// release gives the memory of the body back.
func (h *Handler) readRequest(c *gin.Context, request any) (release func(), ok bool) {
	hold := h.bodies.NewHold()
	control := http.NewResponseController(c.Writer)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := hold.ReadAll(c.Request.Body, maxRequestBytes, bodyCopies)
	if err == nil {
		_ = control.SetReadDeadline(time.Time{})
		err = binding.JSON.BindBody(body, request)
	} else {
		// The rest of the body is not read: the connection ends with the response.
		c.Header("Connection", "close")
	}
	switch {
	case err == nil:
		return hold.Release, true
	case errors.Is(err, bodymem.ErrMemory):
		c.Header("Retry-After", "1")
		c.JSON(http.StatusServiceUnavailable, notRunResult(h.manager.Revision(), err.Error()))
	default:
		c.JSON(http.StatusBadRequest, notRunResult(h.manager.Revision(), err.Error()))
	}
	return hold.Release, false
}

// objects returns the objects of this process's current configuration that have the requested
// kind and name. Without a kind or name, all kinds or names match.
func (h *Handler) objects(c *gin.Context) {
	kind, name := object.Kind(c.Query("kind")), c.Query("name")
	snapshot := h.manager.Snapshot()
	response := Objects{Revision: snapshot.Revision(), Objects: []PublishedObject{}}
	for _, document := range object.Documents(snapshot) {
		if kind != "" && document.Kind != kind || name != "" && document.Name != name {
			continue
		}
		response.Objects = append(response.Objects, PublishedObject{
			Kind: document.Kind, Name: document.Name, Spec: document.Spec, Digest: Digest(document.Spec),
		})
	}
	c.JSON(http.StatusOK, response)
}

// history returns the head's history. It reads the store, because processes do
// not keep the history.
func (h *Handler) history(c *gin.Context) {
	state, err := h.manager.Repository().Head(c.Request.Context())
	if err != nil {
		c.JSON(http.StatusServiceUnavailable, notRunResult(h.manager.Revision(), "the store cannot be read: "+err.Error()))
		return
	}
	response := History{Publications: []Publication{}}
	for _, entry := range state.History() {
		response.Publications = append(response.Publications, Publication{
			Revision: entry.Revision, Nonce: entry.Nonce, Author: entry.Author, Note: entry.Note,
			At: entry.At, Changed: entry.Changed, ChangedCount: entry.ChangedCount,
		})
	}
	c.JSON(http.StatusOK, response)
}

// status returns the state of this process and of all processes of the
// membership. A process that does not answer is listed as membership knows it.
func (h *Handler) status(c *gin.Context) {
	response := Status{
		Process:       h.view.Self().Process,
		Revision:      h.manager.Revision(),
		Fresh:         h.manager.IsFresh(),
		EvidenceAgeMs: min(h.manager.EvidenceAge(), time.Hour).Milliseconds(),
		Processes:     []ProcessStatus{},
	}
	members := h.view.Members()
	replies := h.statusQuerier.Query(c.Request.Context(), addressesOf(members))
	for _, member := range members {
		process := processStatus(member)
		if reply, ok := replies[member.Address]; ok && reply.Process == member.Process {
			process.Answered, process.Revision, process.Draining = true, reply.Revision, reply.Draining
		}
		response.Processes = append(response.Processes, process)
	}
	c.JSON(http.StatusOK, response)
}

func addressesOf(members []membership.Member) []string {
	addresses := make([]string, 0, len(members))
	for _, member := range members {
		addresses = append(addresses, member.Address)
	}
	return addresses
}

// processStatus returns the status of a process as the membership knows it.
func processStatus(member membership.Member) ProcessStatus {
	states := map[membership.State]string{
		membership.StateAlive:   "alive",
		membership.StateSuspect: "suspect",
		membership.StateLeaving: "leaving",
		membership.StateDead:    "dead",
	}
	return ProcessStatus{
		Process: member.Process, Role: string(member.Role), Zone: member.Zone, Address: member.Address,
		State: states[member.State], Revision: member.Revision,
	}
}

// drainRequest is a request to give an upstream no new requests, or with Undo to
// give it requests again.
type drainRequest struct {
	Author string `json:"author"`
	Undo   bool   `json:"undo"`
	Force  bool   `json:"force"`
}

func (h *Handler) drain(c *gin.Context) {
	var request drainRequest
	release, ok := h.readRequest(c, &request)
	defer release()
	if !ok {
		return
	}
	name := c.Param("name")
	note := "drain of " + name
	if request.Undo {
		note = "end of the drain of " + name
	}
	result := h.publisher.Drain(c.Request.Context(), name, !request.Undo,
		Request{Author: request.Author, Note: note, Force: request.Force})
	c.JSON(httpStatus[result.Outcome], result)
}
