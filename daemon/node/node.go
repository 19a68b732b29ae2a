package node

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"github.com/pistachioarch/pistachioarch/core/host"
	"github.com/pistachioarch/pistachioarch/daemon/settings"
	"github.com/pistachioarch/pistachioarch/wire/httpclient"
	"github.com/pistachioarch/pistachioarch/wire/platform"
	"github.com/pistachioarch/pistachioarch/wire/target"
)

// Dialer opens connections; net.Dialer implements it.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Options holds the configuration of a Node and its access to the network.
type Options struct {
	Settings *settings.Settings
	// Callers, Operators and Peers are the listeners for callers, operators and other hosts.
	Callers, Operators, Peers net.Listener
	Dialer                    Dialer
	Log                       *log.Logger
	// PeerTLS secures connections between hosts; nil means plain TCP.
	PeerTLS *tls.Config
	// Seed seeds the host's random source; with 0 each incarnation derives its seed from the
	// current time.
	Seed uint64
}

// Node is one running entry host.
type Node struct {
	options   Options
	settings  *settings.Settings
	log       *log.Logger
	startedAt time.Time
	client    *http.Client
	servers   []*http.Server
	// connections tracks the connections of callers and operators.
	connections connectionTracker
	platform    *platform.Client
	targets     *target.Client
	metrics     metrics.Registry
	ctx         context.Context // cancelled by Kill, and by Drain at its end
	cancel      context.CancelFunc
	goroutines  sync.WaitGroup

	mu             sync.Mutex // guards the fields below, up to requestsInFlight
	host           *host.Host
	incarnations   int // started in this process so far
	waiters        map[uint64]*waiter
	nextID         uint64
	streamWaiters  map[callKey][]*waiter
	attempts       map[host.CallID]context.CancelFunc
	outboxes       map[string]*outbox
	drained        chan struct{}
	stopped        bool
	acceptedConfig []byte // last accepted declaration; a new incarnation starts with it

	requestsInFlight requestCounter
}

// configFile is the file of the data directory that holds the last accepted declaration.
const configFile = "config.json"

// maxConnsPerTarget bounds the connections to one target, and to the platform.
const maxConnsPerTarget = 512

// New returns a Node that has not been started. It fails if the settings of the
// host are invalid.
func New(opt Options) (*Node, error) {
	ctx, cancel := context.WithCancel(context.Background())
	client := httpclient.New(&http.Transport{
		DialContext: opt.Dialer.DialContext, MaxIdleConnsPerHost: maxConnsPerTarget, MaxConnsPerHost: maxConnsPerTarget,
		IdleConnTimeout: 90 * time.Second, DisableCompression: true,
	})
	n := &Node{
		options: opt, settings: opt.Settings, log: opt.Log, startedAt: time.Now(), client: client,
		platform: platform.New(client, opt.Settings.PlatformURL, opt.Settings.PlatformToken),
		targets:  target.New(client),
		metrics:  metrics.NewRegistry(),
		ctx:      ctx, cancel: cancel,
		waiters: map[uint64]*waiter{}, streamWaiters: map[callKey][]*waiter{}, attempts: map[host.CallID]context.CancelFunc{},
		outboxes: map[string]*outbox{}, drained: make(chan struct{}),
	}
	if err := n.newIncarnation(); err != nil {
		cancel()
		return nil, err
	}
	return n, nil
}

// newIncarnation replaces the state machine by one with a new incarnation ID.
func (n *Node) newIncarnation() error {
	cfg := n.settings.Host
	cfg.Address = n.settings.PeerAdvertise
	if cfg.Address == "" {
		cfg.Address = n.options.Peers.Addr().String()
	}
	n.incarnations++
	var incarnation [6]byte
	_, _ = rand.Read(incarnation[:]) // never fails
	cfg.Incarnation = hex.EncodeToString(incarnation[:])
	cfg.Seed = n.options.Seed + uint64(n.incarnations)
	if n.options.Seed == 0 {
		cfg.Seed = uint64(time.Now().UnixNano())
	}
	h, err := host.New(cfg)
	if err != nil {
		return err
	}
	n.host = h
	return nil
}

// Start starts the host and returns immediately; Drain or Kill stops it.
func (n *Node) Start() {
	n.spawn(n.servePeers)
	n.serveHTTP(n.options.Callers, n.callerHandler())
	n.serveHTTP(n.options.Operators, n.operatorHandler())
	n.step(n.startEvent())
	n.spawn(n.tick)
	n.spawn(n.pollTargets)
	n.log.Info("ready", "host", n.settings.Host.Host, "callers", n.options.Callers.Addr().String(),
		"operators", n.options.Operators.Addr().String(), "peers", n.options.Peers.Addr().String())
}

func (n *Node) startEvent() *host.Start {
	ev := &host.Start{Seeds: n.settings.Seeds, CachedConfig: n.acceptedConfig}
	if n.acceptedConfig == nil && n.settings.DataDir != "" {
		cached, err := os.ReadFile(filepath.Join(n.settings.DataDir, configFile))
		if err == nil {
			ev.CachedConfig = cached
		}
	}
	return ev
}

// spawn runs f in a goroutine that Kill waits for.
func (n *Node) spawn(f func()) {
	n.goroutines.Add(1)
	go func() {
		defer n.goroutines.Done()
		f()
	}()
}

func (n *Node) tick() {
	ticker := time.NewTicker(host.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-ticker.C:
			n.step(&host.Tick{})
		}
	}
}

func (n *Node) now() time.Duration { return time.Since(n.startedAt) }

// step passes one event to the state machine and starts the resulting effects.
func (n *Node) step(ev host.Event) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stepLocked(ev)
}

func (n *Node) stepLocked(ev host.Event) {
	if n.stopped {
		return
	}
	n.host.Step(n.now(), ev)
	ready := n.host.Ready()
	n.startEffects(ready)
	if ready.Lost {
		n.replaceIncarnation()
	}
}

// replaceIncarnation continues as a new incarnation after another member has taken
// over this one's slots.
func (n *Node) replaceIncarnation() {
	for id, cancel := range n.attempts {
		cancel()
		delete(n.attempts, id)
	}
	if err := n.newIncarnation(); err != nil {
		n.log.Error("cannot start a new incarnation", "error", err)
		return
	}
	n.log.Warn("new incarnation", "member", n.host.Member())
	n.stepLocked(n.startEvent())
}

// startEffects starts the effects that the state machine requested in one step.
func (n *Node) startEffects(ready *host.Ready) {
	for _, note := range ready.Notes {
		n.recordNote(note)
	}
	for _, op := range ready.Ops {
		n.spawn(func() { n.step(n.platform.Do(n.ctx, op)) })
	}
	for _, m := range ready.Messages {
		n.outbox(m.Address).enqueue(m.Frame)
	}
	for _, id := range ready.Cancels {
		if cancel := n.attempts[id]; cancel != nil {
			cancel()
		}
	}
	for _, s := range ready.Sends {
		n.startAttempt(s)
	}
	for _, r := range ready.Releases {
		n.spawn(func() { n.releaseCache(r) })
	}
	for _, r := range ready.Replies {
		n.deliverOutcome(r)
	}
	if ready.SaveConfig != nil {
		n.saveConfig(ready.SaveConfig)
	}
	if ready.Drained {
		select {
		case <-n.drained:
		default:
			close(n.drained)
		}
	}
}

// startAttempt sends one attempt of a call to its target, unless its latest send
// time has passed.
func (n *Node) startAttempt(s host.Send) {
	ctx, cancel := context.WithTimeout(n.ctx, s.Timeout)
	n.attempts[s.Call] = cancel
	n.spawn(func() {
		defer cancel()
		startedAt := time.Now()
		result := &host.TargetDone{Call: s.Call, Target: s.Target.Name, Outcome: host.TargetRefused, Detail: "latest send time has passed"}
		if n.now() < s.NotAfter {
			result = n.targets.Call(ctx, &s, func(text string) { n.deliverChunk(s.Call, text) })
		}
		n.recordDuration("target.call_us", startedAt)
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.attempts, s.Call)
		n.stepLocked(result)
	})
}

// targetRequestTimeout bounds one request to release cache and one poll of a target.
const targetRequestTimeout = 5 * time.Second

func (n *Node) releaseCache(r host.Release) {
	ctx, cancel := context.WithTimeout(n.ctx, targetRequestTimeout)
	defer cancel()
	n.step(n.targets.Release(ctx, &r))
}

func (n *Node) saveConfig(body []byte) {
	n.acceptedConfig = body
	if n.settings.DataDir == "" {
		return
	}
	path := filepath.Join(n.settings.DataDir, configFile)
	if err := os.WriteFile(path+".new", body, 0o600); err != nil {
		n.log.Warn("cannot save the declaration", "error", err)
		return
	}
	if err := os.Rename(path+".new", path); err != nil {
		n.log.Warn("cannot save the declaration", "error", err)
	}
}

// recordNote logs a note of the state machine and counts it by kind.
func (n *Node) recordNote(note host.Note) {
	n.counter("note." + string(note.Kind)).Inc(1)
	fields := []any{"member", n.host.Member()}
	add := func(key, value string) {
		if value != "" {
			fields = append(fields, key, value)
		}
	}
	add("program", string(note.Program))
	add("target", note.Target)
	add("peer", note.Member)
	add("detail", note.Detail)
	if note.Program != "" {
		fields = append(fields, "call", note.Call)
	}
	if note.Epoch != 0 {
		fields = append(fields, "epoch", note.Epoch)
	}
	switch note.Kind {
	case host.NoteAttemptFailed, host.NoteProgramEnded, host.NoteSwept, host.NoteAnswerDuplicate:
		n.log.Debug(string(note.Kind), fields...)
	case host.NoteCorrupt, host.NoteLeaseLost, host.NoteSuspended, host.NoteConfigRefused, host.NoteAnswerCrossed:
		n.log.Error(string(note.Kind), fields...)
	default:
		n.log.Info(string(note.Kind), fields...)
	}
}

func (n *Node) counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, n.metrics)
}

// histogramSampleSize is the number of durations that a histogram samples.
const histogramSampleSize = 1028

// recordDuration adds the time since startedAt, in microseconds, to a histogram.
// It avoids metrics.Timer, which starts a goroutine that is never stopped.
func (n *Node) recordDuration(name string, startedAt time.Time) {
	h := metrics.GetOrRegisterHistogram(name, n.metrics, metrics.NewUniformSample(histogramSampleSize))
	h.Update(time.Since(startedAt).Microseconds())
}

// Dump returns the complete state of the host.
func (n *Node) Dump() *host.Dump {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.host.Dump()
}
