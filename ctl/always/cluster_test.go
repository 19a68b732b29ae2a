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
	platformIP = "10.9.0.1"
	clientIP   = "10.9.0.9"
	serviceIP  = "10.3.0.1"
	token      = "secret"
)

// member is one host of the cluster.
type member struct {
	name, dataCentre, ip string
	node                 *node.Node // nil while the host is not running
}

// cluster runs the daemon code of several hosts with stand-ins for the platform, the
// engines and the service, on the virtual time of one synctest bubble.
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

	mu                sync.Mutex          // guards configVersions, overspentPrograms and member.node
	configVersions    map[string][]uint64 // by incarnation, in the order of observation
	overspentPrograms []string
	drains            sync.WaitGroup
}

// engineNames lists the engines; e3 does not check fencing tokens.
var engineNames = []string{"e1", "e2", "e3"}

func engineIP(name string) string { return "10.2.0." + name[1:] }

func newCluster(t *testing.T) *cluster {
	c := &cluster{
		t: t, net: vnet.New(), platform: standin.NewPlatform(), engines: map[string]*standin.Engine{},
		service: standin.NewService(), members: map[string]*member{}, servers: map[string]*http.Server{}, configVersions: map[string][]uint64{},
	}
	c.client = c.newClient(clientIP)
	c.startServer(platformIP, c.platform.Handler())
	c.startServer(serviceIP, c.service.Handler())
	for _, name := range engineNames {
		c.engines[name] = standin.NewEngine(standin.EngineConfig{
			BatchSize: 4, CacheTokens: 4000, OutputTokens: 12, PrefillPerToken: 20 * time.Microsecond, DecodePerToken: 5 * time.Millisecond,
			ChecksFencing: name != "e3", ReportLag: 500 * time.Millisecond,
		})
		c.startServer(engineIP(name), c.engines[name].Handler())
	}
	for i, m := range []member{{name: "h1", dataCentre: "sapporo-a"}, {name: "h2", dataCentre: "sapporo-a"}, {name: "h3", dataCentre: "sapporo-a"}, {name: "h4", dataCentre: "seeb"}, {name: "h5", dataCentre: "seeb"}} {
		m.ip = fmt.Sprintf("10.1.0.%d", i+1)
		c.members[m.name] = &m
		c.startHost(m.name)
	}
	return c
}

func (c *cluster) newClient(ip string) *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: vnet.Dialer{Net: c.net, From: ip}.DialContext, IdleConnTimeout: time.Second}}
}

func (c *cluster) startServer(ip string, h http.Handler) {
	s := &http.Server{Handler: h, ErrorLog: log.New(io.Discard).StandardLog()}
	c.servers[ip] = s
	l := c.net.Listen(ip + ":80")
	go func() { _ = s.Serve(l) }()
}

// killServer stops a stand-in like a crash of its process.
func (c *cluster) killServer(ip string) {
	_ = c.servers[ip].Close()
	c.net.Crash(ip)
}

func (c *cluster) settings(m *member) *settings.Settings {
	parsed, err := settings.Parse(fmt.Appendf(nil, `
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
`, m.name, m.dataCentre, platformIP, digest(token)))
	require.NoError(c.t, err)
	return parsed
}

func digest(s string) string {
	sum := sha256.Sum256([]byte(s))
	return hex.EncodeToString(sum[:])
}

func (c *cluster) startHost(name string) {
	m := c.members[name]
	c.seed++
	opt := node.Options{
		Settings: c.settings(m), Log: log.NewWithOptions(hostLog, log.Options{Formatter: log.JSONFormatter, Level: log.DebugLevel, ReportTimestamp: true, TimeFormat: "15:04:05.000"}),
		Dialer: vnet.Dialer{Net: c.net, From: m.ip}, Seed: c.seed,
		Callers: c.net.Listen(m.ip + ":1"), Operators: c.net.Listen(m.ip + ":2"), Peers: c.net.Listen(m.ip + ":3"),
	}
	n, err := node.New(opt)
	require.NoError(c.t, err)
	n.Start()
	c.mu.Lock()
	defer c.mu.Unlock()
	m.node = n
}

// runningNode returns the running node of a host, nil if there is none. With markDead, the
// host counts as not running from now on.
func (c *cluster) runningNode(name string, markDead bool) *node.Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.members[name].node
	if markDead {
		c.members[name].node = nil
	}
	return n
}

// liveNodes returns the running nodes by host name.
func (c *cluster) liveNodes() map[string]*node.Node {
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

// hostLog receives the logs of all hosts; change it to debug a test.
var hostLog io.Writer = io.Discard

// killHost stops a host like kill -9.
func (c *cluster) killHost(name string) {
	n := c.runningNode(name, true)
	if n == nil {
		return
	}
	c.net.Crash(c.members[name].ip)
	n.Kill()
	c.net.Crash(c.members[name].ip)
}

// drainHost drains a host in the background; c.drains waits for the end.
func (c *cluster) drainHost(name string) {
	n := c.runningNode(name, false)
	c.drains.Go(func() {
		if n.Drain(context.Background()) == nil {
			c.runningNode(name, true)
		}
	})
}

// partitionDataCentre sets whether the hosts of a data centre are partitioned from the
// platform, from the hosts of other data centres, or from both.
func (c *cluster) partitionDataCentre(dataCentre string, fromPlatform, fromOthers, partitioned bool) {
	for _, m := range c.members {
		if m.dataCentre != dataCentre {
			continue
		}
		if fromPlatform {
			c.net.SetPartitioned(m.ip, platformIP, partitioned)
		}
		for _, o := range c.members {
			if fromOthers && o.dataCentre != dataCentre {
				c.net.SetPartitioned(m.ip, o.ip, partitioned)
			}
		}
	}
}

// declaration returns the operators' declaration; drainingTarget names the target that
// drains, if any.
func (c *cluster) declaration(drainingTarget string) string {
	var text strings.Builder
	fmt.Fprintf(&text, "[service \"agent-llm\"]\nkind = engine\nretry_ratio = 1\ntimeout = 5s\nidle_timeout = 10m\n[service \"orders\"]\nkind = plain\ntimeout = 5s\n")
	fmt.Fprintf(&text, "[target \"orders\"]\nservice = orders\ndata_centre = seeb\nurl = http://%s:80\n", serviceIP)
	for _, name := range engineNames {
		fmt.Fprintf(&text, "[target %q]\nservice = agent-llm\ndata_centre = sapporo-a\nurl = http://%s:80\nbatch = 4\ncache_tokens = 4000\nchecks_fencing = %v\nleaving = %v\n",
			name, engineIP(name), name != "e3", name == drainingTarget)
	}
	fmt.Fprintf(&text, "[caller \"crew\"]\ntoken_sha256 = %s\nbudget = 100000\n[rule \"all\"]\nthen = retry 6\n", digest(token))
	return text.String()
}

// applyDeclaration applies a declaration and retries until the platform accepts it.
func (c *cluster) applyDeclaration(drainingTarget, author string) {
	s := store.New(platform.New(c.client, "http://"+platformIP+":80", ""))
	for {
		current, revision, err := s.Current(context.Background())
		if err == nil {
			if _, err = s.Apply(context.Background(), c.declaration(drainingTarget), author, current, revision); err == nil {
				return
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// sampleHosts records the dumps of the running hosts every 50 ms until ctx ends.
func (c *cluster) sampleHosts(ctx context.Context) {
	for ctx.Err() == nil {
		for _, n := range c.liveNodes() {
			c.recordDump(n.Dump())
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (c *cluster) recordDump(d *host.Dump) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.configVersions[d.Member] = append(c.configVersions[d.Member], d.ConfigVersion)
	for _, p := range d.Programs {
		if p.Spent+p.Reserved > p.Budget {
			c.overspentPrograms = append(c.overspentPrograms, fmt.Sprintf("%s: spent %d, reserved %d of %d", p.Program, p.Spent, p.Reserved, p.Budget))
		}
	}
}

// callerAddresses returns the hosts' addresses for callers.
func (c *cluster) callerAddresses() []string {
	var addresses []string
	for _, name := range slices.Sorted(maps.Keys(c.members)) {
		addresses = append(addresses, c.members[name].ip+":1")
	}
	return addresses
}

// loadPlan returns the load: short and long programs, streamed and not, with sub-agents
// and with orders that must not be repeated.
func (c *cluster) loadPlan(programs int, seed uint64) load.Plan {
	kind := load.Kind{Caller: "crew", Token: token, Service: "agent-llm", QuestionWords: 8, Pause: 200 * time.Millisecond, MaxTokens: 40}
	short, long, order := kind, kind, kind
	short.Name, short.Turns = "short", 3
	long.Name, long.Turns, long.Stream, long.SubAgentTurns = "long", 10, true, 2
	order.Name, order.Turns, order.OrderService = "order", 4, "orders"
	return load.Plan{
		Hosts: c.callerAddresses(), Kinds: []load.Kind{short, long, order}, Programs: programs, Parallel: 12, Seed: seed,
		RetryTimeout: 10 * time.Minute, Client: c.client,
		OrderServices: []string{"http://" + serviceIP + ":80"},
	}
}

// executedOrders returns the number of executions of each order by its ID.
func (c *cluster) executedOrders() map[string]int {
	executed := map[string]int{}
	for _, o := range c.service.Orders() {
		var body map[string]string
		if json.Unmarshal(o.Body, &body) == nil {
			executed[body["order"]]++
		}
	}
	return executed
}

// close stops all hosts and stand-ins, so that the synctest bubble can end.
func (c *cluster) close() {
	c.net.Heal()
	for _, name := range slices.Sorted(maps.Keys(c.members)) {
		c.killHost(name)
	}
	c.drains.Wait()
	c.client.CloseIdleConnections()
	for _, ip := range slices.Sorted(maps.Keys(c.servers)) {
		c.killServer(ip)
	}
}
