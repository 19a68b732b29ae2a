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
	"github.com/pistachioarch/pistachioarch/wire/objects"
	"github.com/pistachioarch/pistachioarch/wire/targetpool"
)

// Headers translates between the headers of callers and targets and package request.
type Headers interface {
	// Call decodes the headers of a caller's request. Its error is a failure of kind
	// BadRequest.
	Call(http.Header) (request.Call, error)
	// Outgoing returns the headers to send to a target for the caller's headers in.
	Outgoing(in http.Header, s request.SendOptions) http.Header
	// Answer decodes the status and headers of a target's answer.
	Answer(status int, h http.Header) request.Answer
	// RetryAfter sets the header that tells a caller to retry after d.
	RetryAfter(h http.Header, d time.Duration)
	// Echo sets the request ID in an answer that the host generates itself.
	Echo(h http.Header, id string)
}

// Options configures a Host.
type Options struct {
	Headers Headers
	History *quorum.Client
	// Dialer opens connections to targets, also for probes.
	Dialer     targetpool.Dialer
	DataCentre string
	// Regions maps each data centre to its region; nil without regions.
	Regions map[string]string
	// HistoryTimeout bounds the wait for history hosts before a request is sent; 0 selects the
	// default.
	HistoryTimeout time.Duration
	// MemoryBytes and Descriptors are the limits of the process; 0 means no limit.
	MemoryBytes int64
	Descriptors int
	// KeyRules bounds the age of the configuration by which callers are served or rejected.
	KeyRules KeyRules
	// QuotaTolerance is how far customers may exceed their quotas.
	QuotaTolerance quota.Tolerance
	// ReadTargetChanges reads from the platform itself, at once, what has changed in the list of targets since a
	// revision; nil if the list is only followed.
	ReadTargetChanges func(ctx context.Context, revision uint64) (objects.Changes, error)
	// DisableLoadExchange turns off the exchange of target loads with other entry hosts.
	DisableLoadExchange bool
	// ReadyPath is the URL path of the readiness check of the platform.
	ReadyPath string
	Log       *log.Logger
	// Meter may be nil.
	Meter *meter.Meter
}

// Host accepts callers' requests and forwards them to targets.
type Host struct {
	Options
	table atomic.Pointer[routing.Table]
	// configured is closed when the first table is set.
	configured chan struct{}
	// configuredAt is when the current table was set, in nanoseconds of now.
	configuredAt atomic.Int64
	// configConfirmed is when the current table is known to have been the newest.
	configConfirmed confirmation
	// configLost is set while neither a relay nor the platform answers requests for the configuration.
	configLost   atomic.Bool
	targetList   targetList
	server       atomic.Pointer[http.Server]
	listener     net.Listener
	pool         *targetpool.Pool
	targetBytes  targetByteCounters
	reachability *reachabilityMonitor
	departures   departures
	lastCrashes  lastCrashes
	runWatches   *runWatches
	trials       trials
	// brokenRunTimeouts are the constants of these names.
	brokenRunTimeouts brokenRunTimeouts
	startedAt         time.Time
	loadExchanger     *loadExchanger

	// memory accounts for what requests hold.
	memory *memoryAccount

	// mu guards registry, versions, dispatch and hedger.
	mu       sync.Mutex
	registry *balance.Registry
	versions balance.VersionLog
	dispatch *dispatch.Dispatcher
	hedger   *hedge.Hedger

	draining atomic.Bool
	// lifetime ends with Run.
	lifetime context.Context
	end      context.CancelFunc
	// background tracks work that continues after the answer, such as settling budgets.
	background sync.WaitGroup
}

// New returns a host that has no configuration and no targets yet.
func New(options Options) *Host {
	options.HistoryTimeout = cmp.Or(options.HistoryTimeout, historyTimeout)
	registry := balance.NewRegistry(options.DataCentre, balance.DefaultWeights())
	h := &Host{
		Options:    options,
		configured: make(chan struct{}),
		pool:       targetpool.New(options.Dialer),
		startedAt:  time.Now(),
		registry:   registry,
		dispatch:   dispatch.New(registry, dispatch.DefaultLimits()),
		hedger:     hedge.New(),
		runWatches: newRunWatches(),

		brokenRunTimeouts: brokenRunTimeouts{write: brokenRunWriteTimeout, read: brokenRunReadTimeout},
	}
	h.lifetime, h.end = context.WithCancel(context.Background())
	h.memory = newMemoryAccount(h)
	h.configConfirmed.at.Store(neverConfirmed)
	h.targetList.confirmed.at.Store(neverConfirmed)
	h.targetList.checking = make(chan struct{}, 1)
	h.reachability = newReachabilityMonitor(h)
	h.loadExchanger = newLoadExchanger(h)
	h.registerGauges()
	return h
}

// activeRequests returns the number of requests in progress.
func (h *Host) activeRequests() int { return h.memory.activeRequests() }

// now returns the monotonic time since the host was created.
func (h *Host) now() time.Duration { return time.Since(h.startedAt) }

// sinceStart returns an instant as one of now.
func (h *Host) sinceStart(t time.Time) time.Duration { return t.Sub(h.startedAt) }

// Defaults of the limits that a configuration can set.
const (
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 1 << 20
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
)

// maxFirstConfigWait bounds how long accepted connections wait for the first configuration,
// which defines what callers may send. After that, requests are answered with a regular refusal
// until a configuration arrives.
const maxFirstConfigWait = 300 * time.Millisecond

// Serve accepts callers' requests on listener in the background, until Drain or Close.
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
			ConnContext:       withCallerConn,
			ErrorLog:          h.Log.StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel}),
		}
		h.server.Store(server)
		if err := server.Serve(callerListener{listener, h.recordLongHead}); err != nil && err != http.ErrServerClosed {
			h.Log.Error("caller listener failed", "error", err.Error())
		}
	}()
}

// recordLongHead logs and counts a caller whose request has a head of too many lines.
func (h *Host) recordLongHead(caller net.Addr, err error) {
	h.Meter.Count("requests", "refused", "long_head")
	h.Log.Warn("head of a request refused", "caller", caller.String(), "error", err.Error())
}

// serverIdleTimeout exceeds any configured idle timeout, which idleCloser enforces.
const serverIdleTimeout = 10 * time.Minute

// limits returns the limits of the current configuration, zero without one.
func (h *Host) limits() routing.Limits {
	if t := h.table.Load(); t != nil {
		return t.Limits
	}
	return routing.Limits{}
}

func (h *Host) idleTimeout() time.Duration {
	return cmp.Or(h.limits().IdleTimeout, defaultIdleTimeout)
}

// Close closes the listener and all callers' connections at once.
func (h *Host) Close() {
	_ = h.listener.Close()
	if server := h.server.Load(); server != nil {
		_ = server.Close()
	}
}

// Ready reports whether the host should receive requests: it has a configuration that is current
// enough, knows the history hosts, can be served by them now or after an expected demotion, and
// is not draining.
func (h *Host) Ready() bool {
	historyServable := h.History.IsolatedFor() == 0 || h.History.TimeUntilDemotion() > 0
	return !h.draining.Load() && h.table.Load() != nil && h.staleFor() == 0 && h.History.Ready() && historyServable
}

// outOfRotationDelay is how long the platform takes to route callers to other hosts after a
// host becomes unready: two failed readiness checks, one second apart.
const outOfRotationDelay = 2 * time.Second

// historyRetryDelay returns when a caller that history hosts cannot serve should retry: after
// the default delay if this host is not isolated from them; otherwise when they are expected to
// have demoted the replicas of a silent data centre, or when callers are routed to other hosts.
// Where only this host is isolated, callers that retried sooner could reach it again and fail for
// good.
func (h *Host) historyRetryDelay() time.Duration {
	isolated := h.History.IsolatedFor()
	if isolated == 0 {
		return defaultRetryDelay
	}
	if untilDemotion := h.History.TimeUntilDemotion(); untilDemotion > 0 {
		return max(defaultRetryDelay, untilDemotion)
	}
	return max(defaultRetryDelay, outOfRotationDelay-isolated)
}

// isolatedTurnRetryDelay is the retry delay of a turn while only this host is isolated. Unlike a
// call, a turn is sent several times, each time to another host, and most of these can serve
// it; waiting until the balancer takes this host out of rotation would use up most of the time
// left for the program. It must not apply where a whole data centre is isolated: there callers
// reach no host that can serve until the balancer routes them elsewhere, and all retries would
// be over before that.
const isolatedTurnRetryDelay = 350 * time.Millisecond

// ServeReady serves the readiness check of the platform at ReadyPath on listener in the
// background: 200 if the host is ready, 503 if not.
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

// Run closes idle connections to targets and exchanges loads until ctx ends, then closes all
// connections to targets.
func (h *Host) Run(ctx context.Context) {
	if !h.DisableLoadExchange {
		go h.loadExchanger.run(ctx)
	}
	h.pool.Reap(ctx)
	h.end()
	h.pool.Close()
}

const (
	// drainNotReadyDelay is how long a draining host keeps serving while it reports not ready:
	// the platform takes it out of rotation after two readiness checks one second apart.
	drainNotReadyDelay = 2500 * time.Millisecond
	// settleReserve is the part of the grace period that is reserved for background work after
	// the last answer.
	settleReserve = 500 * time.Millisecond
)

// Drain stops the host within the grace period. The host reports not ready at once, keeps
// serving until callers are routed elsewhere, then closes connections as they become idle.
func (h *Host) Drain(grace time.Duration) {
	h.draining.Store(true)
	h.Log.Info("draining", "active", h.activeRequests())
	deadline := time.Now().Add(grace - settleReserve)
	time.Sleep(min(drainNotReadyDelay, grace/3))
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if server := h.server.Load(); server != nil {
		if err := server.Shutdown(ctx); err != nil {
			h.Log.Warn("grace period expired, remaining requests are aborted", "active", h.activeRequests())
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
		h.Log.Warn("budget settlements not finished at shutdown")
	}
	h.Log.Info("stopped")
}

// notRunStatuses maps failure kinds to HTTP statuses for requests that did not run.
var notRunStatuses = map[failure.Kind]int{
	failure.BadRequest:         http.StatusBadRequest,
	failure.TooLarge:           http.StatusRequestEntityTooLarge,
	failure.NoRoute:            http.StatusNotFound,
	failure.UnknownTurn:        http.StatusNotFound,
	failure.IncompleteChain:    http.StatusNotFound,
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

// statusOf returns the HTTP status of a failure. A request that may have run never gets a
// status from which callers conclude that it did not run.
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
