package node

import (
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/host"
)

// operatorHandler serves the operators; every path but the health check needs
// the operators' token.
func (n *Node) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", n.health)
	mux.HandleFunc("GET /v1/dump", n.operator(func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, n.Dump())
	}))
	mux.HandleFunc("GET /v1/status", n.operator(func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, n.Status())
	}))
	mux.HandleFunc("GET /v1/metrics", n.operator(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(n.metrics, w)
	}))
	mux.HandleFunc("POST /v1/drain", n.operator(func(w http.ResponseWriter, _ *http.Request) {
		n.step(&host.Drain{})
		writeJSON(w, http.StatusAccepted, n.Status())
	}))
	return mux
}

// healthRetry is when a balancer should look again.
const healthRetry = time.Second

// Status is the short form of a Dump.
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

// Status returns the short state of the host.
func (n *Node) Status() Status {
	d := n.Dump()
	return Status{
		Member: d.Member, DataCentre: d.DataCentre, MayServe: d.MayServe, Draining: d.Draining, PlatformReachable: d.PlatformOK,
		ConfigVersion: d.ConfigVersion, ConfigRefused: d.ConfigRefused, Slots: len(d.Slots), Programs: len(d.Programs),
		Answered: d.Stats.Answered, NotRun: d.Stats.NotRun, Unknown: d.Stats.Unknown,
	}
}

func (n *Node) operator(serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if bearerDigest(r) != n.set.OperatorTokenSHA256 {
			writeFailure(w, failure.New(failure.Unauthorized, "not an operator's token"))
			return
		}
		serve(w, r)
	}
}

// health tells the balancer whether to send requests here.
func (n *Node) health(w http.ResponseWriter, _ *http.Request) {
	n.mu.Lock()
	ready := n.host.Healthy()
	n.mu.Unlock()
	if !ready {
		writeFailure(w, failure.Retry(failure.Suspended, healthRetry, "the host takes no requests now"))
		return
	}
	w.WriteHeader(http.StatusOK)
}
