package always

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/host"
	"github.com/pistachioarch/pistachioarch/ctl/load"
	"github.com/pistachioarch/pistachioarch/ctl/standin"
	"github.com/pistachioarch/pistachioarch/ctl/store"
	"github.com/pistachioarch/pistachioarch/ctl/vnet"
	"github.com/pistachioarch/pistachioarch/daemon/node"
	"github.com/pistachioarch/pistachioarch/daemon/settings"
	"github.com/pistachioarch/pistachioarch/wire/platform"
)

const (
	platformPlace = "10.9.0.1"
	clientPlace   = "10.9.0.9"
	servicePlace  = "10.3.0.1"
	token         = "secret"
)

// member is one host of the cluster under test.
type member struct {
	name, dc, place string
	node            *node.Node // of the last start; nil while it is dead
}

// cluster runs the real daemon code of several hosts with stand-ins, all in one
// bubble of virtual time.
type cluster struct {
	t        *testing.T
	net      *vnet.Network
	platform *standin.Platform
	engines  map[string]*standin.Engine
	service  *standin.Service
	members  map[string]*member
	servers  map[string]*http.Server
	client   *http.Client
	seed     uint64

	mu        sync.Mutex          // guards below, and node of each member
	versions  map[string][]uint64 // config versions seen at each incarnation, in order
	overspent []string
	stopping  sync.WaitGroup
}

// engineNames are the engines; e3 does not check fencing.
var engineNames = []string{"e1", "e2", "e3"}

func enginePlace(name string) string { return "10.2.0." + name[1:] }

func newCluster(t *testing.T) *cluster {
	c := &cluster{
		t: t, net: vnet.New(), platform: standin.NewPlatform(), engines: map[string]*standin.Engine{},
		service: standin.NewService(), members: map[string]*member{}, servers: map[string]*http.Server{}, versions: map[string][]uint64{},
	}
	c.client = c.clientAt(clientPlace)
	c.serve(platformPlace, c.platform.Handler())
	c.serve(servicePlace, c.service.Handler())
	for _, name := range engineNames {
		c.engines[name] = standin.NewEngine(standin.EngineConfig{
			BatchSize: 4, CacheTokens: 4000, OutputTokens: 12, PrefillPerToken: 20 * time.Microsecond, DecodePerToken: 5 * time.Millisecond,
			ChecksFencing: name != "e3", ReportLag: 500 * time.Millisecond,
		})
		c.serve(enginePlace(name), c.engines[name].Handler())
	}
	for i, m := range []member{{name: "h1", dc: "sapporo-a"}, {name: "h2", dc: "sapporo-a"}, {name: "h3", dc: "sapporo-a"}, {name: "h4", dc: "seeb"}, {name: "h5", dc: "seeb"}} {
		m.place = fmt.Sprintf("10.1.0.%d", i+1)
		c.members[m.name] = &m
		c.start(m.name)
	}
	return c
}

func (c *cluster) clientAt(place string) *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: vnet.Dialer{Net: c.net, From: place}.DialContext, IdleConnTimeout: time.Second}}
}

func (c *cluster) serve(place string, h http.Handler) {
	s := &http.Server{Handler: h, ErrorLog: log.New(io.Discard).StandardLog()}
	c.servers[place] = s
	l := c.net.Listen(place + ":80")
	go func() { _ = s.Serve(l) }()
}

// stopServer kills a stand-in's process.
func (c *cluster) stopServer(place string) {
	_ = c.servers[place].Close()
	c.net.Crash(place)
}

func (c *cluster) settings(m *member) *settings.Settings {
	set, err := settings.Parse(fmt.Appendf(nil, `
[host]
name = %s
data_centre = %s
[platform]
url = http://%s:80
[operators]
token_sha256 = %s
[timing]
data_centre_lease = 360s
[limits]
forward_patience = 20s
sweep_every = 10s
`, m.name, m.dc, platformPlace, digest(token)))
	require.NoError(c.t, err)
	return set
}

func digest(s string) string {
	sum := sha256.Sum256([]byte(s))
	return hex.EncodeToString(sum[:])
}

func (c *cluster) start(name string) {
	m := c.members[name]
	c.seed++
	opt := node.Options{
		Settings: c.settings(m), Log: log.NewWithOptions(logTo, log.Options{Formatter: log.JSONFormatter, Level: log.DebugLevel, ReportTimestamp: true, TimeFormat: "15:04:05.000"}),
		Dialer: vnet.Dialer{Net: c.net, From: m.place}, Seed: c.seed,
		Callers: c.net.Listen(m.place + ":1"), Operators: c.net.Listen(m.place + ":2"), Peers: c.net.Listen(m.place + ":3"),
	}
	n, err := node.New(opt)
	require.NoError(c.t, err)
	n.Start()
	c.mu.Lock()
	defer c.mu.Unlock()
	m.node = n
}

// take returns the running node of a host and, if it is to end, marks it dead.
func (c *cluster) take(name string, end bool) *node.Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.members[name].node
	if end {
		c.members[name].node = nil
	}
	return n
}

// live returns the running nodes by name.
func (c *cluster) live() map[string]*node.Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	nodes := map[string]*node.Node{}
	for name, m := range c.members {
		if m.node != nil {
			nodes[name] = m.node
		}
	}
	return nodes
}

// logTo is where the hosts' logs go; a test being debugged changes it.
var logTo io.Writer = io.Discard

// kill ends a host as kill -9 would.
func (c *cluster) kill(name string) {
	n := c.take(name, true)
	if n == nil {
		return
	}
	c.net.Crash(c.members[name].place)
	n.Kill()
	c.net.Crash(c.members[name].place)
}

// stop ends a host in good order, in the background.
func (c *cluster) stop(name string) {
	n := c.take(name, false)
	c.stopping.Go(func() {
		if n.Drain(context.Background()) == nil {
			c.take(name, true)
		}
	})
}

// cutCentre cuts a data centre's hosts off from the platform, or from the other
// hosts, or both.
func (c *cluster) cutCentre(dc string, fromPlatform, fromOthers, on bool) {
	for _, m := range c.members {
		if m.dc != dc {
			continue
		}
		if fromPlatform {
			c.net.SetPartitioned(m.place, platformPlace, on)
		}
		for _, o := range c.members {
			if fromOthers && o.dc != dc {
				c.net.SetPartitioned(m.place, o.place, on)
			}
		}
	}
}

// declaration is the operators' file; leaving names a target that leaves.
func (c *cluster) declaration(leaving string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[service \"agent-llm\"]\nkind = engine\nretry_ratio = 1\ntimeout = 5s\nidle_timeout = 10m\n[service \"orders\"]\nkind = plain\ntimeout = 5s\n")
	fmt.Fprintf(&b, "[target \"orders\"]\nservice = orders\ndata_centre = seeb\nurl = http://%s:80\n", servicePlace)
	for _, name := range engineNames {
		fmt.Fprintf(&b, "[target %q]\nservice = agent-llm\ndata_centre = sapporo-a\nurl = http://%s:80\nbatch = 4\ncache_tokens = 4000\nchecks_fencing = %v\nleaving = %v\n",
			name, enginePlace(name), name != "e3", name == leaving)
	}
	fmt.Fprintf(&b, "[caller \"crew\"]\ntoken_sha256 = %s\nbudget = 100000\n[rule \"all\"]\nthen = retry 6\n", digest(token))
	return b.String()
}

// apply puts a declaration in force, trying until the platform answers.
func (c *cluster) apply(leaving, author string) {
	s := store.New(platform.New(c.client, "http://"+platformPlace+":80", ""))
	for {
		current, from, err := s.Current(context.Background())
		if err == nil {
			if _, err = s.Apply(context.Background(), c.declaration(leaving), author, current, from); err == nil {
				return
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// watch samples what the hosts say of themselves until ctx ends.
func (c *cluster) watch(ctx context.Context) {
	for ctx.Err() == nil {
		for _, n := range c.live() {
			c.sample(n.Dump())
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (c *cluster) sample(d *host.Dump) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.versions[d.Member] = append(c.versions[d.Member], d.ConfigVersion)
	for _, p := range d.Programs {
		if p.Spent+p.Reserved > p.Budget {
			c.overspent = append(c.overspent, fmt.Sprintf("%s: spent %d, reserved %d of %d", p.Program, p.Spent, p.Reserved, p.Budget))
		}
	}
}

// callerAddresses are where callers reach the hosts.
func (c *cluster) callerAddresses() []string {
	var all []string
	for _, name := range slices.Sorted(maps.Keys(c.members)) {
		all = append(all, c.members[name].place+":1")
	}
	return all
}

// plan is the callers' side: short and long programs, streamed and not, with
// sub-agents and orders that must not be repeated.
func (c *cluster) plan(programs int, seed uint64) load.Plan {
	kind := load.Kind{Caller: "crew", Token: token, Service: "agent-llm", QuestionWords: 8, Pause: 200 * time.Millisecond, MaxTokens: 40}
	short, long, order := kind, kind, kind
	short.Name, short.Turns = "short", 3
	long.Name, long.Turns, long.Stream, long.SubAgentTurns = "long", 10, true, 2
	order.Name, order.Turns, order.OrderService = "order", 4, "orders"
	return load.Plan{
		Hosts: c.callerAddresses(), Kinds: []load.Kind{short, long, order}, Programs: programs, Parallel: 12, Seed: seed,
		RetryTimeout: 10 * time.Minute, Client: c.client,
		OrderServices: []string{"http://" + servicePlace + ":80"},
	}
}

// orders counts the executed orders by their id.
func (c *cluster) orders() map[string]int {
	executed := map[string]int{}
	for _, o := range c.service.Orders() {
		var body map[string]string
		if json.Unmarshal(o.Body, &body) == nil {
			executed[body["order"]]++
		}
	}
	return executed
}

// close ends everything, so that the bubble can end.
func (c *cluster) close() {
	c.net.Heal()
	for _, name := range slices.Sorted(maps.Keys(c.members)) {
		c.kill(name)
	}
	c.stopping.Wait()
	c.client.CloseIdleConnections()
	for _, place := range slices.Sorted(maps.Keys(c.servers)) {
		c.stopServer(place)
	}
}
