package node

import (
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/host"
)

// operatorHandler returns the handler of the operators' API. Every path except the
// health check requires the operator token.
func (n *Node) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", n.handleHealth)
	mux.HandleFunc("GET /v1/dump", n.authenticateOperator(func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, n.Dump())
	}))
	mux.HandleFunc("GET /v1/status", n.authenticateOperator(func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, n.Status())
	}))
	mux.HandleFunc("GET /v1/metrics", n.authenticateOperator(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(n.metrics, w)
	}))
	mux.HandleFunc("POST /v1/drain", n.authenticateOperator(func(w http.ResponseWriter, _ *http.Request) {
		n.step(&host.Drain{})
		writeJSON(w, http.StatusAccepted, n.Status())
	}))
	return mux
}

// healthRetryDelay is the delay after which a load balancer should repeat a failed
// health check, and a caller a request to a host without a declaration.
const healthRetryDelay = time.Second

// Status is a summary of the state of a host; Dump returns the complete state.
type Status struct {
	Member            string `json:"member"`
	DataCentre        string `json:"data_centre"`
	MayServe          bool   `json:"may_serve"`
	Draining          bool   `json:"draining"`
	PlatformReachable bool   `json:"platform_reachable"`
	ConfigVersion     uint64 `json:"config_version"`
	ConfigRefused     uint64 `json:"config_refused,omitempty"`
	Slots             int    `json:"slots"`
	Programs          int    `json:"programs"`
	Answered          uint64 `json:"answered"`
	NotRun            uint64 `json:"not_run"`
	Unknown           uint64 `json:"unknown"`
}

// Status returns a summary of the state of the host.
func (n *Node) Status() Status {
	d := n.Dump()
	return Status{
		Member: d.Member, DataCentre: d.DataCentre, MayServe: d.MayServe, Draining: d.Draining, PlatformReachable: d.PlatformOK,
		ConfigVersion: d.ConfigVersion, ConfigRefused: d.ConfigRefused, Slots: len(d.Slots), Programs: len(d.Programs),
		Answered: d.Stats.Answered, NotRun: d.Stats.NotRun, Unknown: d.Stats.Unknown,
	}
}

func (n *Node) authenticateOperator(serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if bearerDigest(r) != n.settings.OperatorTokenSHA256 {
			writeFailure(w, failure.New(failure.Unauthorized, "invalid operator token"))
			return
		}
		serve(w, r)
	}
}

// handleHealth answers health checks: 200 if this host accepts requests, else a
// failure of kind Suspended.
func (n *Node) handleHealth(w http.ResponseWriter, _ *http.Request) {
	n.mu.Lock()
	ready := n.host.Healthy()
	n.mu.Unlock()
	if !ready {
		writeFailure(w, failure.Retry(failure.Suspended, healthRetryDelay, "the host does not accept requests at present"))
		return
	}
	w.WriteHeader(http.StatusOK)
}
