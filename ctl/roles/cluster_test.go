package roles

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/placement"
	"github.com/pistachioarch/pistachioarch/core/routing"
	"github.com/pistachioarch/pistachioarch/ctl/standin"
	"github.com/pistachioarch/pistachioarch/ctl/vnet"
	"github.com/pistachioarch/pistachioarch/daemon/entry"
	"github.com/pistachioarch/pistachioarch/daemon/history"
	"github.com/pistachioarch/pistachioarch/daemon/quorum"
	"github.com/pistachioarch/pistachioarch/daemon/relay"
	"github.com/pistachioarch/pistachioarch/wire/objects"
	"github.com/pistachioarch/pistachioarch/wire/ownheaders"
	"github.com/pistachioarch/pistachioarch/wire/rpc"
)

const (
	configKind, configName = "config", "main"
	targetKind             = "targets"
	evacuationKind         = "evacuations"
	engineService          = "engines"
	plainService           = "orders"
	drainGracePeriod       = 8 * time.Second
	contactWindow          = 3 * time.Second
	// retention is short enough that history hosts with clock jumps could drop records that are
	// still needed.
	retention = 3 * time.Second
	// budget, in tokens, is more than a program of the tests needs; loopBudget stops a looping
	// program after a few turns.
	budget, loopBudget = 20_000, 200
	// maxTokens is the maximum output that a turn requests, eventTokens the output per event.
	maxTokens, eventTokens = 30, 3
)

// logOutput receives the hosts' logs. They are discarded unless ROLES_LOG is set, which sends
// them to standard output.
var logOutput = func() io.Writer {
	if os.Getenv("ROLES_LOG") != "" {
		return os.Stdout
	}
	return io.Discard
}()

// historyHost is a history host with its disk and clock.
type historyHost struct {
	name, ip, dir string
	disk          disk
	clock         clock
	stop          context.CancelFunc
	server        *history.Server
	listener      *vnet.Listener
	done          chan struct{}
}

// entryHost is an entry host, which serves callers.
type entryHost struct {
	name, ip      string
	host          *entry.Host
	historyClient *quorum.Client
	dialer        *processDialer
	stop          context.CancelFunc
}

// processDialer dials for a process until that is killed.
type processDialer struct {
	vnet.Dialer
	killed atomic.Bool
}

// DialContext implements targetpool.Dialer.
func (d *processDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if d.killed.Load() {
		return nil, net.ErrClosed
	}
	return d.Dialer.DialContext(ctx, network, address)
}

// cluster holds entry and history hosts, with simulated targets and a simulated platform, in
// one synctest bubble.
type cluster struct {
	t             *testing.T
	net           *vnet.Network
	store         *standin.Objects
	engines       []*standin.TurnEngine
	plainTargets  []*standin.TurnEngine
	targetServers map[string]*http.Server // by target ID
	mu            sync.Mutex              // guards targetServers, incarnations, and entryHosts, which callers read while faults are injected
	entryHosts    []*entryHost
	historyHosts  []*historyHost
	retirements   *retirements
	// crowded is set if h1 is in the data centre of h0.
	crowded bool
	// crashMarker is in the body of requests under which targets crash; empty if none do. Targets that
	// crash are started again as new incarnations, all of which are in incarnations.
	crashMarker  string
	crashAnswers standin.AnswerCounts
	incarnations []*standin.TurnEngine
	// loseEvery makes targets break the connection of every n-th run; 0 for none.
	loseEvery int
	// maxFaults is the number of disks that may be lost at once; 0 means 1.
	maxFaults int
	// customers are the customers in the configuration; if there are none, callers need no keys.
	customers []routing.Customer
	// requiresKeys is set if callers need keys; then the delay of key removals is bounded to
	// maxRemovalDelay on all hosts.
	requiresKeys bool
	// seeds are the addresses of the initial history hosts.
	seeds   []string
	version uint64
	stops   sync.WaitGroup
}

// retirements is the operators' list of history hosts to retire, with those that have completed.
type retirements struct {
	mu    sync.Mutex
	hosts []string
	done  map[string]bool
}

func (r *retirements) Retiring() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.hosts...)
}

func (r *retirements) Report(_ context.Context, host string, done bool) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.done[host] = done
	return nil
}

func (r *retirements) isDone(host string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.done[host]
}

func newCluster(t *testing.T) *cluster { return newClusterOf(t, 4) }

// newClusterOf starts a cluster with the given number of history hosts.
func newClusterOf(t *testing.T, historyHosts int) *cluster {
	return startCluster(t, historyHosts, false)
}

// newCrowdedCluster starts a cluster of three history hosts, two of which are in one data
// centre.
func newCrowdedCluster(t *testing.T) *cluster { return startCluster(t, 3, true) }

func startCluster(t *testing.T, historyHosts int, crowded bool) *cluster {
	c := emptyCluster(t)
	c.crowded = crowded
	return c.start(historyHosts)
}

func emptyCluster(t *testing.T) *cluster {
	return &cluster{
		t: t, net: vnet.New(), store: standin.NewObjects(), targetServers: map[string]*http.Server{},
		retirements: &retirements{done: map[string]bool{}},
	}
}

func (c *cluster) start(historyHosts int) *cluster {
	for i := range historyHosts {
		ip := fmt.Sprintf("10.2.0.%d", i)
		c.startHistoryHost(&historyHost{name: fmt.Sprintf("h%d", i), ip: ip, dir: c.t.TempDir()})
		c.seeds = append(c.seeds, ip+":1")
	}
	for i := range 3 {
		c.engines = append(c.engines, c.startTarget(engineService, i))
		c.plainTargets = append(c.plainTargets, c.startTarget(plainService, i))
	}
	c.configure(10 * time.Second)
	for i := range 4 {
		c.startEntryHost(&entryHost{name: fmt.Sprintf("e%d", i), ip: fmt.Sprintf("10.1.0.%d", i)})
	}
	time.Sleep(4 * time.Second)
	return c
}

func logger() *log.Logger {
	return log.NewWithOptions(logOutput, log.Options{Formatter: log.JSONFormatter, ReportTimestamp: true, TimeFormat: "15:04:05.000"})
}

// dataCentre returns the data centre of a host. Hosts of different numbers are in different
// data centres, except that h1 of a crowded cluster is in that of h0.
func (c *cluster) dataCentre(name string) string {
	if c.crowded && name == "h1" {
		name = "h0"
	}
	return "dc" + name[1:]
}

// partitionCrowdedDataCentre separates the data centre dc0 of a crowded cluster, which holds two
// history hosts, an entry host and targets, from all other hosts and from the platform, or
// reconnects it if partitioned is false. Callers reach both sides.
func (c *cluster) partitionCrowdedDataCentre(partitioned bool) {
	inside := []string{"10.2.0.0", "10.2.0.1", "10.1.0.0", "10.3.7.0", "10.3.6.0"}
	outside := []string{"10.2.0.2", "10.1.0.1", "10.1.0.2", "10.1.0.3", "10.3.7.1", "10.3.6.1", "10.3.7.2", "10.3.6.2"}
	for _, a := range inside {
		for _, b := range outside {
			c.net.SetPartitioned(a, b, partitioned)
		}
		c.store.SetPartitioned(a, partitioned)
	}
}

func (c *cluster) startHistoryHost(h *historyHost) {
	server, err := history.OpenServer(history.Options{Dir: h.dir, Logger: logger(), Create: h.disk.create, Now: h.clock.now})
	require.NoError(c.t, err)
	h.server = server
	h.listener = c.net.Listen(h.ip + ":1")
	ctx, cancel := context.WithCancel(context.Background())
	h.stop, h.done = cancel, make(chan struct{})
	store := c.store.ViewFrom(h.ip)
	self := placement.Member{ID: server.MemberID(), Host: h.name, Address: h.ip + ":1", DataCentre: c.dataCentre(h.name)}
	controller := history.NewController(server, store, self, max(1, c.maxFaults), c.retirements, vnet.Dialer{Net: c.net, From: h.ip}, logger())
	source := func() objects.Reader { return relay.NewSource(h.name, store, controller, logger()) }
	role := c.role()
	relays := relay.NewServer(ctx, source, logger(),
		relay.Kind{Name: configKind, WatchTimeout: role.RelayedConfigWatchTimeout(), ForwardConfirmations: c.requiresKeys},
		relay.Kind{Name: targetKind, WatchTimeout: role.RelayedWatchTimeout()},
		relay.Kind{Name: evacuationKind, WatchTimeout: role.WatchTimeout()}, relay.Kind{Name: history.MapKind, WatchTimeout: role.WatchTimeout()})
	server.SetRelayHandler(relays.Handle)
	go func() {
		defer close(h.done)
		controller.Run(ctx, relays.Reader())
	}()
	go server.Sweep(ctx.Done())
	go func() { _ = rpc.Serve(h.listener, server.Handle) }()
	for i, existing := range c.historyHosts {
		if existing.name == h.name {
			c.historyHosts[i] = h
			return
		}
	}
	c.historyHosts = append(c.historyHosts, h)
}

// killHistoryHost kills the process of a history host; its disk is preserved.
func (c *cluster) killHistoryHost(i int) *historyHost {
	h := c.historyHosts[i]
	h.stop()
	_ = h.listener.Close()
	c.net.Crash(h.ip)
	<-h.done
	h.server.Close()
	c.net.Crash(h.ip)
	return h
}

func (c *cluster) restartHistoryHost(h *historyHost) {
	c.startHistoryHost(&historyHost{name: h.name, ip: h.ip, dir: h.dir})
}

// configSpec is the spec of the configuration object of the tests.
type configSpec struct {
	Version   uint64
	Timeout   time.Duration
	Customers []routing.Customer
}

// configure writes the next version of the configuration to the store and returns its number.
func (c *cluster) configure(timeout time.Duration) uint64 {
	c.version++
	text, err := json.Marshal(configSpec{c.version, timeout, c.customers})
	require.NoError(c.t, err)
	c.store.Put(configKind, configName, text)
	return c.version
}

func decodeTable(spec []byte) (*routing.Table, error) {
	var s configSpec
	if err := json.Unmarshal(spec, &s); err != nil {
		return nil, err
	}
	onlyService := func(service string) []routing.WeightedService {
		return []routing.WeightedService{{Service: service, Weight: 1}}
	}
	table := routing.NewTable(s.Version, routing.Limits{BodyBytes: 1 << 20},
		[]*routing.Service{{Name: engineService, Engine: &routing.Engine{Capacity: 8, TokensPerEvent: eventTokens}}, {Name: plainService}},
		[]*routing.Route{
			{Name: "turn", Host: "x", Prefix: "/turn/", Kind: routing.Streaming, Services: onlyService(engineService), MaxAttempts: 2, Retained: true, Retention: retention, Timeout: s.Timeout},
			{Name: "stream", Host: "x", Prefix: "/stream/", Kind: routing.Streaming, Services: onlyService(engineService), MaxAttempts: 2, Resumable: true, Timeout: s.Timeout},
			{Name: "order", Host: "x", Prefix: "/order/", Kind: routing.AtMostOnce, Services: onlyService(plainService), MaxAttempts: 2, Timeout: s.Timeout},
			{Name: "look", Host: "x", Prefix: "/look/", Services: onlyService(plainService), MaxAttempts: 2, Timeout: s.Timeout},
			{Name: fmt.Sprintf("v%d", s.Version), Host: "x", Prefix: fmt.Sprintf("/v%d/", s.Version), Services: onlyService(plainService), MaxAttempts: 2},
		})
	if len(s.Customers) == 0 {
		return table, nil
	}
	var list []*routing.Customer
	for i := range s.Customers {
		list = append(list, &s.Customers[i])
	}
	customers, err := routing.NewCustomers(list)
	return table.RequireKeys(customers), err
}

func (c *cluster) startEntryHost(e *entryHost) {
	ctx, cancel := context.WithCancel(context.Background())
	dialer := &processDialer{Dialer: vnet.Dialer{Net: c.net, From: e.ip}}
	e.dialer = dialer
	e.historyClient = quorum.New(dialer, c.dataCentre(e.name), logger(), nil)
	e.historyClient.SetSeeds(c.seeds)
	store := c.store.ViewFrom(e.ip)
	e.host = entry.New(entry.Options{
		Headers: ownheaders.Headers{}, History: e.historyClient, Dialer: dialer, DataCentre: c.dataCentre(e.name), ReadyPath: "/ready", Log: logger(),
		KeyRules: c.keyRules(), QuotaTolerance: quotaTolerance,
		ReadTargetChanges: func(ctx context.Context, revision uint64) (objects.Changes, error) {
			return store.Watch(ctx, targetKind, revision, 0)
		},
	})
	e.stop = cancel
	source := func() *relay.Source {
		return relay.NewSource(e.name, store, e.historyClient.AssignedPeers(), logger()).WithStartTimeout(relay.MembersStartTimeout)
	}
	slots := relay.NewSource(e.name, store, e.historyClient, logger()).WithStartTimeout(relay.StartTimeout)
	role, followConfig := c.role(), objects.Follow
	if c.requiresKeys {
		followConfig = objects.FollowFastRetry
	}
	go followConfig(ctx, source(), configKind, role.ConfigWatchTimeout(), entry.NewConfigView(e.host, configName, decodeTable))
	go objects.Follow(ctx, source(), targetKind, role.WatchTimeout(), entry.NewTargetView(e.host, decodeTarget))
	go objects.Follow(ctx, source(), evacuationKind, role.WatchTimeout(), entry.NewEvacuationView(e.host))
	go objects.Follow(ctx, slots, history.MapKind, history.MapWatchTimeout, e.historyClient)
	go e.host.Run(ctx)
	go e.historyClient.Run(ctx)
	e.host.Serve(c.net.Listen(e.ip + ":80"))
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, existing := range c.entryHosts {
		if existing.name == e.name {
			c.entryHosts[i] = e
			return
		}
	}
	c.entryHosts = append(c.entryHosts, e)
}

// entryHostAt returns the entry host at index i modulo their number.
func (c *cluster) entryHostAt(i int) *entryHost {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.entryHosts[i%len(c.entryHosts)]
}

// killEntryHost kills the process of an entry host.
func (c *cluster) killEntryHost(i int) *entryHost {
	e := c.entryHostAt(i)
	e.dialer.killed.Store(true)
	c.net.Crash(e.ip)
	e.host.Close()
	e.stop()
	c.net.Crash(e.ip)
	return e
}

// rollEntryHost drains and stops an entry host and starts it again.
func (c *cluster) rollEntryHost(i int) {
	e := c.entryHostAt(i)
	e.host.Drain(drainGracePeriod)
	c.killEntryHost(i)
	c.startEntryHost(&entryHost{name: e.name, ip: e.ip})
}

// close stops all hosts and targets; otherwise the synctest bubble would not end.
func (c *cluster) close() {
	c.store.SetDown(false)
	c.net.Heal()
	c.stops.Wait()
	for i := range c.entryHosts {
		c.killEntryHost(i)
	}
	for i := range c.historyHosts {
		if c.historyHosts[i].listener != nil && c.net.IsListening(c.historyHosts[i].ip+":1") {
			c.killHistoryHost(i)
		}
	}
	for _, s := range c.targetServers {
		_ = s.Close()
	}
}
