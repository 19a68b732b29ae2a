package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Ports of all hosts, as one deployment has the same ports on all machines of a day.
type ports struct{ callers, ready, internal, metrics int }

// host is one machine: a loopback address with one process of the system.
type host struct {
	c                    *cluster
	name, role, zone, ip string
	dir                  string // data folder, empty for an entry host
	cmd                  *exec.Cmd
	done                 chan struct{}
}

// cluster holds the processes of one run.
type cluster struct {
	folder string // temporary
	ports  ports
	zones  []string
	store  *store
	seeds  []string
	hosts  []*host
	// engines are the stand-ins of engines.
	engines []*engine
	record  *record
}

const settingsText = `; Settings of one pistachiod role, as the platform renders them from platform/settings.ini.tmpl.
[host]
name = %[1]s
data_centre = %[2]s
data_folder = %[3]s

[listen]
address = %[4]s
callers = %[5]s
ready = %[6]s
first_internal_port = %[7]d
metrics_port = %[8]d

[regions]
%[9]s

[peers]
seeds = %[10]s

[platform]
address = %[11]s

[limits]
memory_mb = %[12]d
descriptors = %[13]d

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
`

// freePorts returns ports that are free on the loopback addresses.
func freePorts() (ports, error) {
	var found []int
	for len(found) < 4 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return ports{}, err
		}
		found = append(found, l.Addr().(*net.TCPAddr).Port)
		defer l.Close()
	}
	return ports{found[0], found[1], found[2], found[3]}, nil
}

// addHost adds a host; its process is not started yet.
func (c *cluster) addHost(role, zone string, number int) *host {
	h := &host{c: c, role: role, zone: zone, name: fmt.Sprintf("%s-%s-%d", map[string]string{"entry": "edge", "history": "storage"}[role], zone, number)}
	h.ip = fmt.Sprintf("127.0.31.%d", 10+len(c.hosts))
	if role == "history" {
		h.dir = filepath.Join(c.folder, "data-"+h.name)
	}
	c.hosts = append(c.hosts, h)
	return h
}

// start starts the process of a host.
func (h *host) start() error {
	c := h.c
	callers, ready, memory, descriptors := "", "", 294, 8200
	if h.role == "entry" {
		callers, ready = fmt.Sprintf("%s:%d", h.ip, c.ports.callers), fmt.Sprintf("%s:%d", h.ip, c.ports.ready)
		memory, descriptors = 284, 4100
	} else if err := os.MkdirAll(h.dir, 0o755); err != nil {
		return err
	}
	var regions []string
	for _, z := range c.zones {
		regions = append(regions, z+" = muscat")
	}
	text := fmt.Sprintf(settingsText, h.name, h.zone, h.dir, h.ip, callers, ready, c.ports.internal, c.ports.metrics,
		strings.Join(regions, "\n"), strings.Join(c.seeds, ","), c.store.address, memory, descriptors)
	settings := filepath.Join(c.folder, h.name+".ini")
	if err := os.WriteFile(settings, []byte(text), 0o644); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(c.folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	h.cmd = exec.Command("target/pistachiod", h.role)
	h.cmd.Env = append(os.Environ(), "PISTACHIOARCH_CONFIG="+settings)
	h.cmd.Stdout, h.cmd.Stderr = log, log
	if err := h.cmd.Start(); err != nil {
		return err
	}
	h.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(h.cmd, h.done)
	c.record.printf("%s started at %s", h.name, h.ip)
	return nil
}

// kill ends the process at once.
func (h *host) kill() {
	if h.cmd == nil {
		return
	}
	_ = h.cmd.Process.Kill()
	<-h.done
	h.cmd = nil
	h.c.record.printf("%s killed", h.name)
}

func (h *host) signal(s syscall.Signal) {
	_ = h.cmd.Process.Signal(s)
	h.c.record.printf("%s gets signal %s", h.name, s)
}

// wipe empties the data folder of a host whose process has ended.
func (h *host) wipe() error {
	h.c.record.printf("%s loses its disk", h.name)
	return os.RemoveAll(h.dir)
}

// stopAll ends all processes.
func (c *cluster) stopAll() {
	for _, h := range c.hosts {
		h.kill()
	}
}

// awaitReady waits until all entry hosts report that they are ready.
func (c *cluster) awaitReady(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for _, h := range c.hosts {
		for h.role == "entry" && !isReady(fmt.Sprintf("%s:%d", h.ip, c.ports.ready)) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready after %s", h.name, timeout)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
