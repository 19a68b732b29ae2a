package system

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/host"
	"github.com/pistachioarch/pistachioarch/ctl/load"
	"github.com/pistachioarch/pistachioarch/ctl/store"
	"github.com/pistachioarch/pistachioarch/wire/platform"
)

// process is a running binary of the project.
type process struct {
	cmd  *exec.Cmd
	line map[string]any // first JSON line that has the expected key
}

// buildBinaries compiles both binaries and returns their directory.
func buildBinaries(t *testing.T) string {
	dir := t.TempDir()
	out, err := exec.Command("go", "build", "-o", dir+"/", "github.com/pistachioarch/pistachioarch/daemon/cmd/pistachiod", "github.com/pistachioarch/pistachioarch/ctl/cmd/pistachioctl").CombinedOutput()
	require.NoError(t, err, "%s", out)
	return dir
}

// startProcess runs a binary and waits for a JSON line with the key on its standard error, or on its
// standard output if stderr is false.
func startProcess(t *testing.T, stderr bool, key, path string, args ...string) *process {
	p := &process{cmd: exec.Command(path, args...)}
	var pipe io.Reader
	var err error
	if stderr {
		pipe, err = p.cmd.StderrPipe()
	} else {
		pipe, err = p.cmd.StdoutPipe()
	}
	require.NoError(t, err)
	require.NoError(t, p.cmd.Start())
	t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGCONT) // if suspended
		_ = p.cmd.Process.Kill()                  // if running
		_ = p.cmd.Wait()                          // its exit status does not matter
	})
	scan := bufio.NewScanner(pipe)
	for scan.Scan() {
		var line map[string]any
		if json.Unmarshal(scan.Bytes(), &line) == nil && line[key] != nil {
			p.line = line
			break
		}
	}
	require.NotNil(t, p.line, "%s printed no %q", path, key)
	go func() { _, _ = io.Copy(io.Discard, pipe) }() // so that the process does not block on output
	return p
}

// field returns the value of a key of the line as text.
func (p *process) field(key string) string { return fmt.Sprint(p.line[key]) }

// TestProcessesKilledAndSuspended runs four host processes under load, kills one with SIGKILL and
// suspends another with SIGSTOP until its lease is revoked. Each call must be answered or end with
// an unknown outcome, without violations.
func TestProcessesKilledAndSuspended(t *testing.T) {
	bin := buildBinaries(t)
	ctl, daemon := filepath.Join(bin, "pistachioctl"), filepath.Join(bin, "pistachiod")
	platformAddress := startProcess(t, false, "listening", ctl, "standin", "platform").field("listening")
	var engines []string
	for range 3 {
		engines = append(engines, "http://"+startProcess(t, false, "listening", ctl, "standin", "engine", "--decode", "2ms").field("listening"))
	}
	orders := "http://" + startProcess(t, false, "listening", ctl, "standin", "service").field("listening")
	var hosts []*process
	plan := load.Plan{Programs: 60, Parallel: 10, Seed: 1, RetryTimeout: 2 * time.Minute, Engines: engines, OrderServices: []string{orders}, Client: &http.Client{}}
	seeds := ""
	for i := range 4 {
		file := filepath.Join(t.TempDir(), "host.ini")
		text := fmt.Sprintf("[host]\nname = h%d\ndata_centre = %s\n[platform]\nurl = http://%s\n[operators]\ntoken_sha256 = %s\n[peers]\nseeds = %s\n[timing]\nlease = 2s\nrenew = 500ms\nheartbeat = 100ms\nsuspect = 500ms\n",
			i+1, string(rune('a'+i/2)), platformAddress, deskDigest, strings.TrimPrefix(seeds, ","))
		require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
		h := startProcess(t, true, "callers", daemon, "--settings", file)
		seeds += "," + h.field("peers")
		hosts = append(hosts, h)
		plan.Hosts = append(plan.Hosts, h.field("callers"))
	}
	var b strings.Builder
	fmt.Fprintf(&b, "[service \"agent-llm\"]\nretry_ratio = 1\ntimeout = 10s\n[service \"orders\"]\nkind = plain\n[target \"o\"]\nservice = orders\ndata_centre = a\nurl = %s\n[caller \"crew\"]\ntoken_sha256 = %s\n", orders, crewDigest)
	for i, url := range engines {
		fmt.Fprintf(&b, "[target \"e%d\"]\nservice = agent-llm\ndata_centre = a\nurl = %s\n", i, url)
	}
	_, err := store.New(platform.New(http.DefaultClient, "http://"+platformAddress, "")).Apply(context.Background(), b.String(), "test", host.ConfigObject{}, 0)
	require.NoError(t, err)
	kind := load.Kind{Token: "crew-3-secret", Service: "agent-llm", QuestionWords: 10, MaxTokens: 40, Turns: 6, Pause: 20 * time.Millisecond}
	ordering, streaming := kind, kind
	ordering.OrderService, streaming.Stream, streaming.SubAgentTurns = "orders", true, 2
	plan.Kinds = []load.Kind{kind, ordering, streaming}
	resumed := make(chan struct{})
	plan.Progress = func(done int, _ load.ProgramResult) {
		switch done {
		case 10:
			assert.NoError(t, hosts[0].cmd.Process.Kill())
		case 20:
			assert.NoError(t, hosts[2].cmd.Process.Signal(syscall.SIGSTOP))
			go func() {
				defer close(resumed)
				awaitLeaseRevocation(t, platformAddress, "b/h3.")
				assert.NoError(t, hosts[2].cmd.Process.Signal(syscall.SIGCONT))
			}()
		}
	}
	r, err := load.Run(context.Background(), plan)
	require.NoError(t, err)
	<-resumed
	assert.Empty(t, r.Violations)
	assert.Zero(t, r.NotRun, "%v", r.Failures)
	assert.Equal(t, r.Calls, r.Answered+r.Unknown)
	t.Log(r.Summary("processes"))
}

// awaitLeaseRevocation waits until the lease of the suspended host is revoked.
func awaitLeaseRevocation(t *testing.T, platformAddress, member string) {
	client := platform.New(http.DefaultClient, "http://"+platformAddress, "")
	for range 3000 {
		r := client.Do(context.Background(), host.PlatformOp{Kind: host.OpList, Key: host.LeasePrefix + member})
		for _, o := range r.Objects {
			var l host.LeaseObject
			if json.Unmarshal(o.Body, &l) == nil && l.RevokedBy != "" {
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Error("lease of the suspended host not revoked within 60 s")
}
