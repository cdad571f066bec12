package publish

import (
	"net/http"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/greengagegate/greengagegate/internal/configsync"
	"github.com/greengagegate/greengagegate/internal/object"
	"github.com/greengagegate/greengagegate/internal/status"
	"github.com/greengagegate/greengagegate/membership"
)

// maxRequestBytes is the largest request to publish.
const maxRequestBytes = 16 << 20

// Handler serves the operators' API.
type Handler struct {
	publisher *Publisher
	manager   *configsync.Manager
	view      membership.View
	processes status.Asker
}

// NewHandler returns the handler of a process's operators' API.
func NewHandler(publisher *Publisher, manager *configsync.Manager, view membership.View, processes status.Asker) *Handler {
	return &Handler{publisher: publisher, manager: manager, view: view, processes: processes}
}

// Register mounts the API below /operator/v1.
func (h *Handler) Register(r gin.IRouter) {
	group := r.Group("/operator/v1")
	group.POST("/publish", h.publish)
	group.GET("/objects", h.objects)
	group.GET("/history", h.history)
	group.GET("/status", h.status)
	group.POST("/upstreams/:name/drain", h.drain)
}

// httpStatus maps outcomes to HTTP status codes.
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
	c.Request.Body = http.MaxBytesReader(c.Writer, c.Request.Body, maxRequestBytes)
	var request Request
	if err := c.ShouldBindJSON(&request); err != nil {
		c.JSON(http.StatusBadRequest, notRun(h.manager.Revision(), err.Error()))
		return
	}
	result := h.publisher.Publish(c.Request.Context(), request)
	c.JSON(httpStatus[result.Outcome], result)
}

// objects returns the set in force here, limited to the kind and name asked for.
func (h *Handler) objects(c *gin.Context) {
	kind, name := object.Kind(c.Query("kind")), c.Query("name")
	snapshot := h.manager.Snapshot()
	answer := Objects{Revision: snapshot.Revision(), Objects: []Published{}}
	for _, document := range object.Documents(snapshot) {
		if kind != "" && document.Kind != kind || name != "" && document.Name != name {
			continue
		}
		answer.Objects = append(answer.Objects, Published{
			Kind: document.Kind, Name: document.Name, Spec: document.Spec, Digest: Digest(document.Spec),
		})
	}
	c.JSON(http.StatusOK, answer)
}

// history reads the store, since only the head has it.
func (h *Handler) history(c *gin.Context) {
	state, err := h.manager.Repository().Head(c.Request.Context())
	if err != nil {
		c.JSON(http.StatusServiceUnavailable, notRun(h.manager.Revision(), "the store cannot be read: "+err.Error()))
		return
	}
	answer := History{Publications: []Publication{}}
	for _, entry := range state.History() {
		answer.Publications = append(answer.Publications, Publication{
			Revision: entry.Revision, Nonce: entry.Nonce, Author: entry.Author, Note: entry.Note,
			At: entry.At, Changed: entry.Changed, ChangedCount: entry.ChangedCount,
		})
	}
	c.JSON(http.StatusOK, answer)
}

func (h *Handler) status(c *gin.Context) {
	answer := Status{
		Process:       h.view.Self().Process,
		Revision:      h.manager.Revision(),
		Fresh:         h.manager.Fresh(),
		EvidenceAgeMs: min(h.manager.EvidenceAge(), time.Hour).Milliseconds(),
		Processes:     []ProcessStatus{},
	}
	members := h.view.Members()
	answers := h.processes.Ask(c.Request.Context(), addressesOf(members))
	for _, member := range members {
		status := processStatus(member)
		if own, ok := answers[member.Address]; ok && own.Process == member.Process {
			status.Answered, status.Revision, status.Draining = true, own.Revision, own.Draining
		}
		answer.Processes = append(answer.Processes, status)
	}
	c.JSON(http.StatusOK, answer)
}

func addressesOf(members []membership.Member) []string {
	addresses := make([]string, 0, len(members))
	for _, member := range members {
		addresses = append(addresses, member.Address)
	}
	return addresses
}

// processStatus returns what membership knows of a process.
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

// drainRequest asks to keep new work away from an upstream, or to let it back.
type drainRequest struct {
	Author string `json:"author"`
	Undo   bool   `json:"undo"`
	Force  bool   `json:"force"`
}

func (h *Handler) drain(c *gin.Context) {
	var request drainRequest
	if err := c.ShouldBindJSON(&request); err != nil {
		c.JSON(http.StatusBadRequest, notRun(h.manager.Revision(), err.Error()))
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
