package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The zones of the small site mizuchi-hokkaido.
var zones = []string{"sapporo-a", "sapporo-b", "asahikawa", "hakodate"}

// ports are the ports that are the same on all machines of a day.
type ports struct{ callers, ready, control, internal, metrics int }

// machine is one machine with the process of its role.
type machine struct {
	name, zone, ip, role, settings, logPath string
	callers, ready                          string
	mu                                      sync.Mutex
	process                                 *exec.Cmd
	ended                                   chan struct{}
}

// cluster is a small deployment: the store, and machines with the project's own processes.
type cluster struct {
	dir      string
	program  string
	store    *store
	storeIP  string
	prefix   string
	ports    ports
	machines []*machine
	rec      *record
}

// newCluster draws loopback addresses and free ports, and starts the store. It starts one machine
// with a disk and one without in each zone.
func newCluster(rec *record) (*cluster, error) {
	program, err := filepath.Abs("target/pistachiod")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	c := &cluster{dir: dir, program: program, rec: rec, prefix: fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), rand.IntN(250))}
	if c.ports, err = c.freePorts(); err != nil {
		return nil, err
	}
	storeAddress, err := freeAddress(c.prefix + ".1")
	if err != nil {
		return nil, err
	}
	if c.store, err = startStore(storeAddress); err != nil {
		return nil, err
	}
	for i, zone := range zones {
		c.machines = append(c.machines,
			&machine{name: "storage-" + zone + "-1", zone: zone, role: "history", ip: fmt.Sprintf("%s.%d", c.prefix, 40+i)},
			&machine{name: "edge-" + zone + "-1", zone: zone, role: "entry", ip: fmt.Sprintf("%s.%d", c.prefix, 80+i)})
	}
	for _, m := range c.machines {
		if err := c.writeSettings(m); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// freeAddress returns an address of ip with a port that is free.
func freeAddress(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// freePorts draws ports that are free on the addresses of all machines, which nobody else uses.
func (c *cluster) freePorts() (ports, error) {
	var drawn []int
	for range 5 {
		l, err := net.Listen("tcp", c.prefix+".40:0")
		if err != nil {
			return ports{}, err
		}
		defer l.Close()
		drawn = append(drawn, l.Addr().(*net.TCPAddr).Port)
	}
	return ports{drawn[0], drawn[1], drawn[2], drawn[3], drawn[4]}, nil
}

// writeSettings renders the settings of a machine as platform/settings.ini.tmpl does.
func (c *cluster) writeSettings(m *machine) error {
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, fmt.Sprintf("%s.%d:%d", c.prefix, 40+i, c.ports.control))
	}
	dataDir, memory, descriptors := "", 134, 4100
	if m.role == "entry" {
		m.callers, m.ready = fmt.Sprintf("%s:%d", m.ip, c.ports.callers), fmt.Sprintf("%s:%d", m.ip, c.ports.ready)
	} else {
		dataDir, memory, descriptors = filepath.Join(c.dir, m.name), 144, 8200
		if err := os.MkdirAll(dataDir, 0o755); err != nil {
			return err
		}
	}
	var regions strings.Builder
	for _, z := range zones {
		fmt.Fprintf(&regions, "%s = hokkaido\n", z)
	}
	text := fmt.Sprintf(`[host]
name = %s
data_centre = %s
data_folder = %s

[listen]
address = %s
callers = %s
ready = %s
first_internal_port = %d
metrics_port = %d

[regions]
%s
[peers]
seeds = %s

[platform]
address = %s

[limits]
memory_mb = %d
descriptors = %d

[faults]
hosts = 1

[timing]
grace_s = 8
contact_ms = 3000
config_ms = 2000
drain_ms = 2000

[evacuations]
bound_ms =

[loads]
exchange = auto

[keys]
removal_strict =
removal_ms =

[quotas]
window_s =
overage =
slack =
`, m.name, m.zone, dataDir, m.ip, m.callers, m.ready, c.ports.internal, c.ports.metrics, regions.String(),
		strings.Join(seeds, ","), c.store.listener.Addr(), memory, descriptors)
	m.settings, m.logPath = filepath.Join(c.dir, m.name+".ini"), filepath.Join(c.dir, m.name+".log")
	return os.WriteFile(m.settings, []byte(text), 0o644)
}

// start starts the process of a machine with the command of the deploy file.
func (c *cluster) start(m *machine) error {
	out, err := os.OpenFile(m.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	p := exec.Command(c.program, m.role)
	p.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + c.dir, "PISTACHIOARCH_CONFIG=" + m.settings}
	p.Stdout, p.Stderr = out, out
	p.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.mu.Lock()
	m.process, m.ended = p, ended
	m.mu.Unlock()
	go func() {
		err := p.Wait()
		c.rec.add("process of %s ended: %v", m.name, err)
		close(ended)
	}()
	c.rec.add("process of %s started", m.name)
	return nil
}

// signal sends a signal to the process of a machine.
func (c *cluster) signal(m *machine, s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process != nil {
		c.rec.add("signal %v to %s", s, m.name)
		_ = m.process.Process.Signal(s)
	}
}

// kill kills the process of a machine and waits for its end.
func (c *cluster) kill(m *machine) {
	c.signal(m, syscall.SIGKILL)
	m.mu.Lock()
	ended := m.ended
	m.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// startAll starts all processes.
func (c *cluster) startAll() error {
	for _, m := range c.machines {
		if err := c.start(m); err != nil {
			return err
		}
	}
	return nil
}

// close ends all processes and removes the temporary folder, unless KEEP is set.
func (c *cluster) close() {
	for _, m := range c.machines {
		c.kill(m)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	} else {
		fmt.Println("kept:", c.dir)
	}
}

// entries returns the machines that clients reach.
func (c *cluster) entries() []*machine {
	var list []*machine
	for _, m := range c.machines {
		if m.role == "entry" {
			list = append(list, m)
		}
	}
	return list
}

// awaitReady waits until all entries say that they are ready.
func (c *cluster) awaitReady(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, m := range c.entries() {
		for {
			resp, err := client.Get("http://" + m.ready + "/-/readyz")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return errors.New(m.name + " is not ready in time")
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	c.rec.add("all entries are ready")
	return nil
}
