package host

import (
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/greengagegate/greengagegate/internal/admin"
	"github.com/greengagegate/greengagegate/internal/standin/enginesim"
	"github.com/greengagegate/greengagegate/internal/standin/kvstore"
	"github.com/greengagegate/greengagegate/internal/standin/plainsvc"
	"github.com/greengagegate/greengagegate/store"
	"github.com/greengagegate/greengagegate/store/memstore"
)

// Paths of the admin listener. The index of the engine or service, counted from 0, is
// appended to PathCrashEngine, PathCrashService and PathDelayService.
const (
	PathStats        = "/admin/stats"
	PathFaults       = "/admin/platform/faults"
	PathHosts        = "/admin/platform/hosts"
	PathCrashEngine  = "/admin/engines/crash/"
	PathCrashService = "/admin/services/crash/"
	PathDelayService = "/admin/services/delay/"
)

// Faults is the request body that replaces the faults of the platform stand-in. See
// memstore.Faults. A latency of 0 means the latency of the settings.
type Faults struct {
	Down        bool  `json:"down"`
	LatencyMs   int64 `json:"latency_ms"`
	LoseAnswers int   `json:"lose_answers"`
}

// CrashRequest is the request body that crashes a service.
type CrashRequest struct {
	At plainsvc.CrashPoint `json:"at"`
}

// DelayRequest is the request body that sets the additional delay of a service's calls.
type DelayRequest struct {
	DelayMs int64 `json:"delay_ms"`
}

// Stats holds the counters of all stand-ins since the process started.
type Stats struct {
	Engines         []enginesim.Stats `json:"engines"`
	KV              kvstore.Counts    `json:"kv"`
	PeakWeightLoads int               `json:"peak_weight_loads"`
	Store           memstore.Counts   `json:"store"`
	Ledgers         []plainsvc.Ledger `json:"ledgers"`
}

func (m *Manager) adminHandler() http.Handler {
	readiness := &admin.Readiness{}
	readiness.Set(true)
	router := admin.NewRouter(readiness)
	router.GET(PathStats, func(c *gin.Context) { c.JSON(http.StatusOK, m.stats()) })
	router.POST(PathFaults, m.setFaults)
	router.POST(PathHosts, m.setHosts)
	router.POST(PathCrashEngine+":index", m.crashEngine)
	router.POST(PathCrashService+":index", m.crashService)
	router.POST(PathDelayService+":index", m.delayService)
	return router
}

func (m *Manager) stats() Stats {
	stats := Stats{Store: m.platform.Counts(), PeakWeightLoads: m.weights.Peak()}
	for _, e := range m.engines {
		stats.Engines = append(stats.Engines, e.Stats())
	}
	for _, s := range m.services {
		stats.Ledgers = append(stats.Ledgers, s.Ledger())
	}
	if m.kv != nil {
		stats.KV = m.kv.Counts()
	}
	return stats
}

func (m *Manager) setFaults(c *gin.Context) {
	var faults Faults
	if c.BindJSON(&faults) != nil {
		return
	}
	m.platform.SetFaults(memstore.Faults{
		Down:        faults.Down,
		Latency:     time.Duration(faults.LatencyMs) * time.Millisecond,
		LoseAnswers: faults.LoseAnswers,
	})
	m.log.Info().Interface("faults", faults).Msg("stand-in: faults of the platform replaced")
	c.JSON(http.StatusOK, faults)
}

// setHosts replaces the list of hosts. It responds at once; the list changes after
// Platform.HostLag.
func (m *Manager) setHosts(c *gin.Context) {
	var hosts []store.Host
	if c.BindJSON(&hosts) != nil {
		return
	}
	m.platform.SetHosts(hosts)
	c.JSON(http.StatusOK, hosts)
}

func (m *Manager) crashEngine(c *gin.Context) {
	index, ok := pathIndex(c, len(m.engines))
	if !ok {
		return
	}
	m.engines[index].Crash()
	m.log.Info().Int("engine", index).Msg("stand-in: an engine was crashed by request; it restarts with an empty cache")
	c.JSON(http.StatusOK, struct{}{})
}

func (m *Manager) crashService(c *gin.Context) {
	index, ok := pathIndex(c, len(m.services))
	if !ok {
		return
	}
	request := CrashRequest{At: plainsvc.CrashNow}
	if c.Request.ContentLength > 0 && c.BindJSON(&request) != nil {
		return
	}
	m.services[index].Crash(request.At)
	c.JSON(http.StatusOK, request)
}

func (m *Manager) delayService(c *gin.Context) {
	index, ok := pathIndex(c, len(m.services))
	if !ok {
		return
	}
	var request DelayRequest
	if c.BindJSON(&request) != nil {
		return
	}
	m.services[index].SetDelay(time.Duration(request.DelayMs) * time.Millisecond)
	c.JSON(http.StatusOK, request)
}

// pathIndex returns the index in the path. It responds with status 404 and returns false
// when the index is not a number from 0 to count-1.
func pathIndex(c *gin.Context, count int) (int, bool) {
	index, err := strconv.Atoi(c.Param("index"))
	if err != nil || index < 0 || index >= count {
		c.JSON(http.StatusNotFound, gin.H{"error": "no such stand-in"})
		return 0, false
	}
	return index, true
}
