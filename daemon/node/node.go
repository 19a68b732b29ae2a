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
	"github.com/pistachioarch/pistachioarch/wire/platform"
	"github.com/pistachioarch/pistachioarch/wire/target"
)

// Dialer opens connections; net.Dialer is one.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Options is what a Node reaches the world through.
type Options struct {
	Settings *settings.Settings
	// Callers, Operators and Peers are the listeners of the host.
	Callers, Operators, Peers net.Listener
	Dialer                    Dialer
	Log                       *log.Logger
	// PeerTLS secures connections between hosts; nil is plain TCP.
	PeerTLS *tls.Config
	// Seed starts the random source; 0 takes one from the system.
	Seed uint64
}

// Node is one running entry host.
type Node struct {
	opt     Options
	set     *settings.Settings
	log     *log.Logger
	start   time.Time
	client  *http.Client
	servers []*http.Server
	// connections are those of callers and operators.
	connections connections
	platform    *platform.Client
	targets     *target.Client
	metrics     metrics.Registry
	ctx         context.Context // ends when the host stops at once
	cancel      context.CancelFunc
	work        sync.WaitGroup

	mu       sync.Mutex // guards all below
	host     *host.Host
	inc      int // incarnations of this process
	waiters  map[uint64]*waiter
	nextID   uint64
	streams  map[callKey][]*waiter
	attempts map[host.CallID]context.CancelFunc
	outboxes map[string]*outbox
	drained  chan struct{}
	stopped  bool
	config   []byte // last accepted declaration, for a new incarnation

	requests requestCount
}

// cacheFile holds the last accepted declaration in the data folder.
const cacheFile = "config.json"

// maxConnsPerTarget bounds the connections to one target or the platform.
const maxConnsPerTarget = 512

// New returns a Node that has not begun.
func New(opt Options) (*Node, error) {
	ctx, cancel := context.WithCancel(context.Background())
	client := &http.Client{Transport: &http.Transport{
		DialContext: opt.Dialer.DialContext, MaxIdleConnsPerHost: maxConnsPerTarget, MaxConnsPerHost: maxConnsPerTarget,
		IdleConnTimeout: 90 * time.Second, DisableCompression: true,
	}}
	n := &Node{
		opt: opt, set: opt.Settings, log: opt.Log, start: time.Now(), client: client,
		platform: platform.New(client, opt.Settings.PlatformURL, opt.Settings.PlatformToken),
		targets:  target.New(client),
		metrics:  metrics.NewRegistry(),
		ctx:      ctx, cancel: cancel,
		waiters: map[uint64]*waiter{}, streams: map[callKey][]*waiter{}, attempts: map[host.CallID]context.CancelFunc{},
		outboxes: map[string]*outbox{}, drained: make(chan struct{}),
	}
	if err := n.newMember(); err != nil {
		cancel()
		return nil, err
	}
	return n, nil
}

// newMember makes the decision machine of a new incarnation.
func (n *Node) newMember() error {
	cfg := n.set.Host
	cfg.Address = n.set.PeerAdvertise
	if cfg.Address == "" {
		cfg.Address = n.opt.Peers.Addr().String()
	}
	n.inc++
	var id [6]byte
	_, _ = rand.Read(id[:]) // never fails
	cfg.Incarnation = hex.EncodeToString(id[:])
	cfg.Seed = n.opt.Seed + uint64(n.inc)
	if n.opt.Seed == 0 {
		cfg.Seed = uint64(time.Now().UnixNano())
	}
	h, err := host.New(cfg)
	if err != nil {
		return err
	}
	n.host = h
	return nil
}

// Start starts the host. It returns at once; Drain or Kill ends it.
func (n *Node) Start() {
	n.goDo(n.servePeers)
	n.serveHTTP(n.opt.Callers, n.callerHandler())
	n.serveHTTP(n.opt.Operators, n.operatorHandler())
	n.step(n.startEvent())
	n.goDo(n.tick)
	n.goDo(n.pollTargets)
	n.log.Info("ready", "host", n.set.Host.Host, "callers", n.opt.Callers.Addr().String(),
		"operators", n.opt.Operators.Addr().String(), "peers", n.opt.Peers.Addr().String())
}

func (n *Node) startEvent() *host.Start {
	ev := &host.Start{Seeds: n.set.Seeds, CachedConfig: n.config}
	if n.config == nil && n.set.DataFolder != "" {
		cached, err := os.ReadFile(filepath.Join(n.set.DataFolder, cacheFile))
		if err == nil {
			ev.CachedConfig = cached
		}
	}
	return ev
}

// goDo runs f until the host stops.
func (n *Node) goDo(f func()) {
	n.work.Add(1)
	go func() {
		defer n.work.Done()
		f()
	}()
}

func (n *Node) tick() {
	t := time.NewTicker(host.TickEvery)
	defer t.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-t.C:
			n.step(&host.Tick{})
		}
	}
}

func (n *Node) now() time.Duration { return time.Since(n.start) }

// step gives the machine one event and starts what it asks for.
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
	rd := n.host.Ready()
	n.carryOut(rd)
	if rd.Lost {
		n.replaceMember()
	}
}

// replaceMember starts again under a new incarnation after another member took
// over this one's slots.
func (n *Node) replaceMember() {
	for id, cancel := range n.attempts {
		cancel()
		delete(n.attempts, id)
	}
	if err := n.newMember(); err != nil {
		n.log.Error("cannot start a new incarnation", "error", err)
		return
	}
	n.log.Warn("new incarnation", "member", n.host.Member())
	n.stepLocked(n.startEvent())
}

// carryOut starts the effects of one step.
func (n *Node) carryOut(rd *host.Ready) {
	for _, note := range rd.Notes {
		n.record(note)
	}
	for _, op := range rd.Ops {
		n.goDo(func() { n.step(n.platform.Do(n.ctx, op)) })
	}
	for _, m := range rd.Messages {
		n.outbox(m.Address).put(m.Frame)
	}
	for _, id := range rd.Cancels {
		if cancel := n.attempts[id]; cancel != nil {
			cancel()
		}
	}
	for _, s := range rd.Sends {
		n.attempt(s)
	}
	for _, r := range rd.Releases {
		n.goDo(func() { n.release(r) })
	}
	for _, r := range rd.Replies {
		n.reply(r)
	}
	if rd.SaveConfig != nil {
		n.saveConfig(rd.SaveConfig)
	}
	if rd.Drained {
		select {
		case <-n.drained:
		default:
			close(n.drained)
		}
	}
}

// attempt sends one call to its target.
func (n *Node) attempt(s host.Send) {
	ctx, cancel := context.WithTimeout(n.ctx, s.Timeout)
	n.attempts[s.Call] = cancel
	n.goDo(func() {
		defer cancel()
		begun := time.Now()
		done := &host.TargetDone{Call: s.Call, Target: s.Target.Name, Outcome: host.TargetRefused, Detail: "too late to send"}
		if n.now() < s.NotAfter {
			done = n.targets.Call(ctx, &s, func(text string) { n.chunk(s.Call, text) })
		}
		n.observe("target.call_us", begun)
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.attempts, s.Call)
		n.stepLocked(done)
	})
}

// releaseTimeout bounds one order to drop cache.
const releaseTimeout = 5 * time.Second

func (n *Node) release(r host.Release) {
	ctx, cancel := context.WithTimeout(n.ctx, releaseTimeout)
	defer cancel()
	n.step(n.targets.Release(ctx, &r))
}

func (n *Node) saveConfig(body []byte) {
	n.config = body
	if n.set.DataFolder == "" {
		return
	}
	path := filepath.Join(n.set.DataFolder, cacheFile)
	if err := os.WriteFile(path+".new", body, 0o600); err != nil {
		n.log.Warn("cannot keep the declaration", "error", err)
		return
	}
	if err := os.Rename(path+".new", path); err != nil {
		n.log.Warn("cannot keep the declaration", "error", err)
	}
}

// record writes a note of the machine as a log line and a counter.
func (n *Node) record(note host.Note) {
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

// sampleSize is how many durations a histogram keeps.
const sampleSize = 1028

// observe adds a duration, in microseconds, to a histogram. A metrics.Timer
// would do, but starts a goroutine that nothing ends.
func (n *Node) observe(name string, begun time.Time) {
	h := metrics.GetOrRegisterHistogram(name, n.metrics, metrics.NewUniformSample(sampleSize))
	h.Update(time.Since(begun).Microseconds())
}

// Dump returns the state of the host.
func (n *Node) Dump() *host.Dump {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.host.Dump()
}
