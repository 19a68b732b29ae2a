package roles

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/balance"
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
	watchFor               = 2 * time.Second
	grace                  = 8 * time.Second
	// retention is short, so that clocks that jump could make hosts drop what is needed.
	retention = 3 * time.Second
	// budget lets a program of the tests end with room to spare; loopBudget stops one
	// that never ends, after a few turns.
	budget, loopBudget     = 20_000, 200
	maxTokens, eventTokens = 30, 3
)

// logTo is where the hosts' logs go: nowhere, or to standard output if ROLES_LOG is set.
var logTo = func() io.Writer {
	if os.Getenv("ROLES_LOG") != "" {
		return os.Stdout
	}
	return io.Discard
}()

// historyHost is one host with a disk.
type historyHost struct {
	name, place, dir string
	disk             disk
	clock            clock
	stop             context.CancelFunc
	server           *history.Server
	listener         *vnet.Listener
	ended            chan struct{}
}

// entryHost is one host for callers.
type entryHost struct {
	name, place string
	host        *entry.Host
	past        *quorum.Client
	stop        context.CancelFunc
}

// cluster is entry and history hosts with stand-ins in one bubble of virtual time.
type cluster struct {
	t       *testing.T
	net     *vnet.Network
	store   *standin.Objects
	engines []*standin.TurnEngine
	plain   []*standin.TurnEngine
	serving map[string]*http.Server // targets by id
	mu      sync.Mutex              // guards entries, which callers read while faults happen
	entries []*entryHost
	history []*historyHost
	retire  *retirements
	// crowded puts h1 into the data centre of h0.
	crowded bool
	// faults is how many disks may be lost at once, 1 unless it is set.
	faults int
	// customers are those of the configuration; without any no keys are needed.
	customers []routing.Customer
	// keyed bounds the removal of keys on all hosts.
	keyed bool
	// seeds are the addresses of the history hosts at the start.
	seeds   []string
	version uint64
	stops   sync.WaitGroup
}

// retirements is the operators' list of hosts to be emptied.
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

// newClusterOf starts a cluster with a number of history hosts.
func newClusterOf(t *testing.T, historyHosts int) *cluster {
	return startCluster(t, historyHosts, false)
}

// newCrowded starts a cluster of three history hosts, two of which are in one data
// centre.
func newCrowded(t *testing.T) *cluster { return startCluster(t, 3, true) }

func startCluster(t *testing.T, historyHosts int, crowded bool) *cluster {
	c := emptyCluster(t)
	c.crowded = crowded
	return c.start(historyHosts)
}

func emptyCluster(t *testing.T) *cluster {
	return &cluster{
		t: t, net: vnet.New(), store: standin.NewObjects(), serving: map[string]*http.Server{},
		retire: &retirements{done: map[string]bool{}},
	}
}

func (c *cluster) start(historyHosts int) *cluster {
	for i := range historyHosts {
		place := fmt.Sprintf("10.2.0.%d", i)
		c.startHistory(&historyHost{name: fmt.Sprintf("h%d", i), place: place, dir: c.t.TempDir()})
		c.seeds = append(c.seeds, place+":1")
	}
	for i := range 3 {
		c.engines = append(c.engines, c.startTarget(engineService, i))
		c.plain = append(c.plain, c.startTarget(plainService, i))
	}
	c.configure(10 * time.Second)
	for i := range 4 {
		c.startEntry(&entryHost{name: fmt.Sprintf("e%d", i), place: fmt.Sprintf("10.1.0.%d", i)})
	}
	time.Sleep(4 * time.Second)
	return c
}

func logger() *log.Logger {
	return log.NewWithOptions(logTo, log.Options{Formatter: log.JSONFormatter, ReportTimestamp: true, TimeFormat: "15:04:05.000"})
}

// dataCentre is where a host is: each has its own, but for h1 of a crowded cluster.
func (c *cluster) dataCentre(name string) string {
	if c.crowded && name == "h1" {
		name = "h0"
	}
	return "dc" + name[1:]
}

// cutCentre cuts the data centre dc0 of a crowded cluster off: two history hosts, an entry
// host and targets, from all others and from the platform. Callers reach both sides.
func (c *cluster) cutCentre(on bool) {
	inside := []string{"10.2.0.0", "10.2.0.1", "10.1.0.0", "10.3.7.0", "10.3.6.0"}
	outside := []string{"10.2.0.2", "10.1.0.1", "10.1.0.2", "10.1.0.3", "10.3.7.1", "10.3.6.1", "10.3.7.2", "10.3.6.2"}
	for _, a := range inside {
		for _, b := range outside {
			c.net.Cut(a, b, on)
		}
		c.store.Cut(a, on)
	}
}

func (c *cluster) startHistory(h *historyHost) {
	server, err := history.OpenServer(history.Options{Dir: h.dir, Logger: logger(), Create: h.disk.create, Now: h.clock.now})
	require.NoError(c.t, err)
	h.server = server
	h.listener = c.net.Listen(h.place + ":1")
	ctx, cancel := context.WithCancel(context.Background())
	h.stop, h.ended = cancel, make(chan struct{})
	store := c.store.At(h.place)
	self := placement.Member{ID: server.MemberID(), Host: h.name, Address: h.place + ":1", DataCentre: c.dataCentre(h.name)}
	keeper := history.NewController(server, store, self, max(1, c.faults), c.retire, vnet.Dialer{Net: c.net, From: h.place}, logger())
	source := func() objects.Reader { return relay.NewSource(h.name, store, keeper, logger()) }
	relays := relay.NewServer(ctx, source, logger(),
		relay.Kind{Name: configKind, Wait: c.configWatch(300 * time.Millisecond), Renew: c.keyed}, relay.Kind{Name: targetKind, Wait: watchFor},
		relay.Kind{Name: evacuationKind, Wait: watchFor}, relay.Kind{Name: history.MapKind, Wait: watchFor})
	server.SetRelayHandler(relays.Handle)
	go func() {
		defer close(h.ended)
		keeper.Run(ctx, relays.Reader())
	}()
	go server.Sweep(ctx.Done())
	go func() { _ = rpc.Serve(h.listener, server.Handle) }()
	for i, old := range c.history {
		if old.name == h.name {
			c.history[i] = h
			return
		}
	}
	c.history = append(c.history, h)
}

// killHistory ends a history host's process; its disk stays.
func (c *cluster) killHistory(i int) *historyHost {
	h := c.history[i]
	h.stop()
	_ = h.listener.Close()
	c.net.Crash(h.place)
	<-h.ended
	h.server.Close()
	c.net.Crash(h.place)
	return h
}

func (c *cluster) restartHistory(h *historyHost) {
	c.startHistory(&historyHost{name: h.name, place: h.place, dir: h.dir})
}

func (c *cluster) startTarget(service string, i int) *standin.TurnEngine {
	e := &standin.TurnEngine{ID: fmt.Sprintf("%s-%d", service, i), Places: 8, Events: 5, Step: 20 * time.Millisecond}
	place := fmt.Sprintf("10.3.%d.%d", len(service), i)
	c.serving[e.ID] = c.serve(place, e)
	c.list(e.ID, service, place, i, false)
	return e
}

func (c *cluster) serve(place string, h http.Handler) *http.Server {
	s := &http.Server{Handler: h, ErrorLog: log.New(io.Discard).StandardLog()}
	l := c.net.Listen(place + ":80")
	go func() { _ = s.Serve(l) }()
	return s
}

// list writes a target's entry in the platform's list.
func (c *cluster) list(id, service, place string, i int, draining bool) {
	text, err := json.Marshal(balance.TargetInfo{ID: id, Service: service, Address: place + ":80", DataCentre: fmt.Sprintf("dc%d", i), Capacity: 8, Draining: draining})
	require.NoError(c.t, err)
	c.store.Put(targetKind, id, text)
}

func decodeTarget(id string, spec []byte) (balance.TargetInfo, error) {
	var l balance.TargetInfo
	err := json.Unmarshal(spec, &l)
	return l, err
}

// configSpec is the configuration object of the tests.
type configSpec struct {
	Version   uint64
	Timeout   time.Duration
	Customers []routing.Customer
}

// configure puts the next version of the configuration in the store.
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
	to := func(service string) []routing.WeightedService {
		return []routing.WeightedService{{Service: service, Weight: 1}}
	}
	table := routing.NewTable(s.Version, routing.Limits{BodyBytes: 1 << 20},
		[]*routing.Service{{Name: engineService, Engine: &routing.Engine{Capacity: 8, TokensPerEvent: eventTokens}}, {Name: plainService}},
		[]*routing.Route{
			{Name: "turn", Host: "x", Prefix: "/turn/", Kind: routing.Streaming, Services: to(engineService), MaxAttempts: 2, Retained: true, Retention: retention, Timeout: s.Timeout},
			{Name: "order", Host: "x", Prefix: "/order/", Kind: routing.AtMostOnce, Services: to(plainService), MaxAttempts: 2, Timeout: s.Timeout},
			{Name: "look", Host: "x", Prefix: "/look/", Services: to(plainService), MaxAttempts: 2, Timeout: s.Timeout},
			{Name: fmt.Sprintf("v%d", s.Version), Host: "x", Prefix: fmt.Sprintf("/v%d/", s.Version), Services: to(plainService), MaxAttempts: 2},
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

func (c *cluster) startEntry(e *entryHost) {
	ctx, cancel := context.WithCancel(context.Background())
	dialer := vnet.Dialer{Net: c.net, From: e.place}
	e.past = quorum.New(dialer, c.dataCentre(e.name), logger(), nil)
	e.past.Seed(c.seeds)
	e.host = entry.New(entry.Options{
		Headers: ownheaders.Headers{}, History: e.past, Dialer: dialer, DataCentre: c.dataCentre(e.name), ReadyPath: "/ready", Log: logger(),
		Keys: c.keyRules(), Quotas: tolerance,
	})
	e.stop = cancel
	store := c.store.At(e.place)
	source := func() *relay.Source {
		return relay.NewSource(e.name, store, e.past.Members(), logger()).Patient(relay.MembersPatience)
	}
	slots := relay.NewSource(e.name, store, e.past, logger()).Patient(relay.StartPatience)
	followConfig := objects.Follow
	if c.keyed {
		followConfig = objects.FollowFastRetry
	}
	go followConfig(ctx, source(), configKind, c.configWatch(600*time.Millisecond), entry.NewConfigView(e.host, configName, decodeTable))
	go objects.Follow(ctx, source(), targetKind, watchFor, entry.NewTargetView(e.host, decodeTarget))
	go objects.Follow(ctx, source(), evacuationKind, watchFor, entry.NewEvacuationView(e.host))
	go objects.Follow(ctx, slots, history.MapKind, history.MapWatchTimeout, e.past)
	go e.host.Run(ctx)
	go e.past.Run(ctx)
	e.host.Serve(c.net.Listen(e.place + ":80"))
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, old := range c.entries {
		if old.name == e.name {
			c.entries[i] = e
			return
		}
	}
	c.entries = append(c.entries, e)
}

// entryAt returns an entry host by number, around the list.
func (c *cluster) entryAt(i int) *entryHost {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.entries[i%len(c.entries)]
}

// killEntry ends an entry host's process.
func (c *cluster) killEntry(i int) *entryHost {
	e := c.entryAt(i)
	c.net.Crash(e.place)
	e.host.Close()
	e.stop()
	c.net.Crash(e.place)
	return e
}

// rollEntry stops an entry host in good order and starts it again.
func (c *cluster) rollEntry(i int) {
	e := c.entryAt(i)
	e.host.Drain(grace)
	c.killEntry(i)
	c.startEntry(&entryHost{name: e.name, place: e.place})
}

// close ends everything, so that the bubble can end.
func (c *cluster) close() {
	c.store.SetDown(false)
	c.net.Heal()
	c.stops.Wait()
	for i := range c.entries {
		c.killEntry(i)
	}
	for i := range c.history {
		if c.history[i].listener != nil && c.net.Listening(c.history[i].place+":1") {
			c.killHistory(i)
		}
	}
	for _, s := range c.serving {
		_ = s.Close()
	}
}
