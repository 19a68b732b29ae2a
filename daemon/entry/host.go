package entry

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/pistachioarch/pistachioarch/core/balance"
	"github.com/pistachioarch/pistachioarch/core/dispatch"
	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/hedge"
	"github.com/pistachioarch/pistachioarch/core/quota"
	"github.com/pistachioarch/pistachioarch/core/request"
	"github.com/pistachioarch/pistachioarch/core/routing"
	"github.com/pistachioarch/pistachioarch/daemon/meter"
	"github.com/pistachioarch/pistachioarch/daemon/quorum"
	"github.com/pistachioarch/pistachioarch/wire/targetpool"
)

// Headers translates the headers of callers and targets.
type Headers interface {
	// Call decodes a caller's request; the failure is of kind BadRequest.
	Call(http.Header) (request.Call, error)
	// Outgoing returns the headers of a request to a target.
	Outgoing(in http.Header, s request.SendOptions) http.Header
	// Answer decodes the head of a target's answer.
	Answer(status int, h http.Header) request.Answer
	// RetryAfter tells a caller when to come back.
	RetryAfter(h http.Header, d time.Duration)
	// Echo names the request in an answer of the system's own.
	Echo(h http.Header, id string)
}

// Options are the parts that a Host is made of.
type Options struct {
	Headers Headers
	History *quorum.Client
	// Dialer opens connections to targets.
	Dialer     targetpool.Dialer
	DataCentre string
	// Regions is the region of each data centre, nil where there are none.
	Regions map[string]string
	// HistoryTimeout is how long history hosts are waited for before a request is sent;
	// historyPatience if it is 0.
	HistoryTimeout time.Duration
	// MemoryBytes and Descriptors are the process's limits; 0 if there is none.
	MemoryBytes int64
	Descriptors int
	// KeyRules is how current the configuration must be for requests with a key.
	KeyRules KeyRules
	// QuotaTolerance is by how much the quotas of customers may be exceeded.
	QuotaTolerance quota.Tolerance
	// DisableLoadExchange keeps the host from telling other hosts what it sees of the targets.
	DisableLoadExchange bool
	// ReadyPath is where the platform asks whether the host takes requests.
	ReadyPath string
	Log       *log.Logger
	// Meter may be nil.
	Meter *meter.Meter
}

// Host serves the callers of one entry host.
type Host struct {
	Options
	table atomic.Pointer[routing.Table]
	// configured is closed once there is a table.
	configured chan struct{}
	// configuredAt is when the table in force came, in nanoseconds of now.
	configuredAt atomic.Int64
	// confirmedAt is when the table in force was surely the newest, in nanoseconds of now.
	confirmedAt     atomic.Int64
	configConfirmed broadcast
	server          atomic.Pointer[http.Server]
	listener        net.Listener
	pool            *targetpool.Pool
	targetBytes     targetBytes
	reachability    *reachabilityMonitor
	startedAt       time.Time
	loadExchanger   *loadExchanger

	memory *memoryAccount

	mu       sync.Mutex
	registry *balance.Registry
	dispatch *dispatch.Dispatcher
	hedger   *hedge.Hedger

	draining atomic.Bool
	// work is what goes on after an answer: settling budgets.
	background sync.WaitGroup
}

// New returns a host without configuration and targets.
func New(options Options) *Host {
	options.HistoryTimeout = cmp.Or(options.HistoryTimeout, historyPatience)
	registry := balance.NewRegistry(options.DataCentre, balance.DefaultWeights())
	h := &Host{
		Options:    options,
		configured: make(chan struct{}),
		pool:       targetpool.New(options.Dialer),
		startedAt:  time.Now(),
		registry:   registry,
		dispatch:   dispatch.New(registry, dispatch.DefaultLimits()),
		hedger:     hedge.New(),
	}
	h.memory = newMemoryAccount(h)
	h.confirmedAt.Store(neverConfirmed)
	h.reachability = newReachabilityMonitor(h)
	h.loadExchanger = newLoadExchanger(h)
	h.registerGauges()
	return h
}

// active is the number of requests held.
func (h *Host) activeRequests() int { return h.memory.activeRequests() }

// now is the host's monotonic time.
func (h *Host) now() time.Duration { return time.Since(h.startedAt) }

// Limits where a configuration leaves them out.
const (
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 1 << 20
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
)

// configurationWait is how long connections wait for the first configuration,
// which says what callers may send; without one they are refused in good order.
const maxFirstConfigWait = 300 * time.Millisecond

// Serve takes callers' requests until Drain or Close.
func (h *Host) Serve(listener net.Listener) {
	h.listener = listener
	go func() {
		select {
		case <-h.configured:
		case <-time.After(maxFirstConfigWait):
		}
		limits := h.limits()
		server := &http.Server{
			Handler:           h,
			MaxHeaderBytes:    cmp.Or(limits.HeaderBytes, defaultHeaderBytes),
			ReadHeaderTimeout: cmp.Or(limits.HeaderTimeout, defaultHeaderTimeout),
			IdleTimeout:       serverIdleTimeout,
			ConnState:         newIdleCloser(h.idleTimeout).connState,
			ConnContext:       withCaller,
			ErrorLog:          h.Log.StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel}),
		}
		h.server.Store(server)
		if err := server.Serve(callers{listener}); err != nil && err != http.ErrServerClosed {
			h.Log.Error("callers' listener failed", "error", err.Error())
		}
	}()
}

// idleBackstop is above any idle limit; see idleConns.
const serverIdleTimeout = 10 * time.Minute

// limits are those of the configuration in force, if there is one.
func (h *Host) limits() routing.Limits {
	if t := h.table.Load(); t != nil {
		return t.Limits
	}
	return routing.Limits{}
}

func (h *Host) idleTimeout() time.Duration {
	return cmp.Or(h.limits().IdleTimeout, defaultIdleTimeout)
}

// Close cuts all callers off.
func (h *Host) Close() {
	_ = h.listener.Close()
	if server := h.server.Load(); server != nil {
		_ = server.Close()
	}
}

// Ready reports whether the host can serve: it has a configuration that is current enough
// and knows the history hosts, and it is not about to stop.
func (h *Host) Ready() bool {
	historyServable := h.History.Isolated() == 0 || h.History.TakeoverIn() > 0
	return !h.draining.Load() && h.table.Load() != nil && h.staleFor() == 0 && h.History.Ready() && historyServable
}

// rotationTime is how long the platform takes to send callers elsewhere after a
// host is not ready: two questions, a second apart.
const outOfRotationDelay = 2 * time.Second

// comeBack is when a caller that history hosts cannot serve should try again: at
// once if this host is in touch with them, otherwise when callers are sent to
// other hosts. Callers that came back at once where this host alone is cut off could meet
// it again, and be refused for good.
func (h *Host) historyRetryDelay() time.Duration {
	isolated := h.History.Isolated()
	if isolated == 0 {
		return retryLater
	}
	if takeover := h.History.TakeoverIn(); takeover > 0 {
		return max(retryLater, takeover)
	}
	return max(retryLater, outOfRotationDelay-isolated)
}

// turnPause is when the caller of a turn comes back while this host alone is cut off. Unlike a
// call, a turn is sent several times, each to another host, and most of these serve;
// waiting for the balancer to take this one out costs most of what a program's aim leaves.
// Where a whole data centre is cut off, its callers reach none that serves until the balancer
// sends them elsewhere: with this pause all tries would be over before that.
const isolatedTurnRetryDelay = 350 * time.Millisecond

// ServeReady answers the platform's question whether the host takes requests.
func (h *Host) ServeReady(listener net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc(h.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !h.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: defaultHeaderTimeout}
	go func() {
		if err := server.Serve(listener); err != nil && err != http.ErrServerClosed {
			h.Log.Error("readiness listener failed", "error", err.Error())
		}
	}()
}

// Run keeps the connections to targets tidy and exchanges loads until the context ends, and
// closes the connections then.
func (h *Host) Run(ctx context.Context) {
	if !h.DisableLoadExchange {
		go h.loadExchanger.run(ctx)
	}
	h.pool.Reap(ctx)
	close(h.reachability.done)
	h.pool.Close()
}

const (
	// leaveAfter is how long a stopping host goes on as before, not ready: the
	// platform takes it out of rotation after two questions a second apart.
	drainNotReadyDelay = 2500 * time.Millisecond
	// settleReserve is kept of the grace for what goes on after the last answer.
	settleReserve = 500 * time.Millisecond
)

// Drain stops the host within grace: it is not ready at once, serves on until no
// new connections come, then closes connections as they fall idle.
func (h *Host) Drain(grace time.Duration) {
	h.draining.Store(true)
	h.Log.Info("draining", "active", h.activeRequests())
	deadline := time.Now().Add(grace - settleReserve)
	time.Sleep(min(drainNotReadyDelay, grace/3))
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if server := h.server.Load(); server != nil {
		if err := server.Shutdown(ctx); err != nil {
			h.Log.Warn("requests cut off at the end of the grace time", "active", h.activeRequests())
		}
	}
	done := make(chan struct{})
	go func() {
		h.background.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(settleReserve / 2):
		h.Log.Warn("budgets left unsettled")
	}
	h.Log.Info("stopped")
}

// statuses are the HTTP statuses of failures that did not run.
var notRunStatuses = map[failure.Kind]int{
	failure.BadRequest:         http.StatusBadRequest,
	failure.TooLarge:           http.StatusRequestEntityTooLarge,
	failure.NoRoute:            http.StatusNotFound,
	failure.UnknownTurn:        http.StatusNotFound,
	failure.BudgetExhausted:    http.StatusPaymentRequired,
	failure.Unauthorized:       http.StatusUnauthorized,
	failure.QuotaExceeded:      http.StatusTooManyRequests,
	failure.StaleConfiguration: http.StatusServiceUnavailable,
	failure.NoConfiguration:    http.StatusServiceUnavailable,
	failure.HistoryUnavailable: http.StatusServiceUnavailable,
	failure.NoTarget:           http.StatusServiceUnavailable,
	failure.TargetFull:         http.StatusServiceUnavailable,
	failure.TargetFailed:       http.StatusServiceUnavailable,
	failure.Overloaded:         http.StatusServiceUnavailable,
	failure.Timeout:            http.StatusServiceUnavailable,
}

// statusOf maps a failure to an HTTP status. A request that may have run never
// gets a status that promises that it did not.
func statusOf(f *failure.Failure) int {
	if f.Ran == failure.RanNo {
		if status, ok := notRunStatuses[f.Kind]; ok {
			return status
		}
		return http.StatusServiceUnavailable
	}
	if f.Kind == failure.Timeout {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}
