// Package capacity measures the cost per unit, such as a call, a program or a target, from which
// docs/CAPACITY.md extrapolates the cost of each role at full size. Run it with `make capacity`.
package capacity

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/pistachioarch/pistachioarch/core/decl"
	"github.com/pistachioarch/pistachioarch/core/host"
	"github.com/pistachioarch/pistachioarch/core/ident"
	"github.com/pistachioarch/pistachioarch/core/peerpb"
)

// benchHost runs one host.Host with a platform that answers at once and one peer that
// acknowledges its tail.
type benchHost struct {
	b         testing.TB
	host      *host.Host
	now       time.Duration
	objects   map[string]host.Object
	replies   []host.Reply // of the last step
	sends     []host.Send  // of the last step, and of the acknowledgements of its records
	peerBytes int          // size of all messages to peers
	stepCount int
	stepTime  time.Duration // total time in host.Step
}

const peerName = "z/peer.1"

// newBenchHost starts a host with a configuration and lets it run for 300 ticks.
func newBenchHost(b testing.TB, configText string, slots int) *benchHost {
	h := &benchHost{b: b, objects: map[string]host.Object{}}
	h.objects[host.ConfigKey] = host.Object{Key: host.ConfigKey, Version: 1, Body: fmt.Appendf(nil, `{"version":1,"nonce":"n","text":%q}`, configText)}
	var err error
	h.host, err = host.New(host.Config{Host: "h", DataCentre: "a", Incarnation: "1", Address: "h", Slots: slots, MaxTailBytes: 1 << 30, MaxPrograms: 1 << 20})
	require.NoError(b, err)
	h.step(&host.Start{})
	h.receiveHeartbeat(peerName, nil)
	for range 300 {
		h.advance(host.TickInterval)
	}
	return h
}

// receiveHeartbeat delivers a heartbeat of a peer, named DATACENTRE/NAME.
func (h *benchHost) receiveHeartbeat(from string, loads []*peerpb.TargetLoad) {
	dataCentre, _, _ := strings.Cut(from, "/")
	h.step(&host.PeerFrame{Frame: &peerpb.Frame{From: from, Body: &peerpb.Frame_Heartbeat{Heartbeat: &peerpb.Heartbeat{
		DataCentre: dataCentre, Address: from, PlatformReachable: true, ConfigVersion: 1, Loads: loads,
	}}}})
}

// advance lets time pass by d and delivers a tick, and a heartbeat of the peer every 200 ms.
func (h *benchHost) advance(d time.Duration) {
	h.now += d
	if h.now%(200*time.Millisecond) < d {
		h.receiveHeartbeat(peerName, nil)
	}
	h.step(&host.Tick{})
}

// step delivers an event, executes the platform operations that the host asks for, and
// acknowledges the records that it sends to its peer.
func (h *benchHost) step(event host.Event) {
	startedAt := time.Now()
	h.host.Step(h.now, event)
	h.stepTime += time.Since(startedAt)
	h.stepCount++
	ready := h.host.Ready()
	ops := append([]host.PlatformOp(nil), ready.Ops...)
	messages := append([]host.PeerMessage(nil), ready.Messages...)
	h.replies = append(h.replies[:0], ready.Replies...)
	h.sends = append(h.sends[:0], ready.Sends...)
	for _, op := range ops {
		if reply := h.runPlatformOp(op); reply != nil {
			h.step(reply)
		}
	}
	for _, m := range messages {
		h.peerBytes += proto.Size(m.Frame)
		if tail := m.Frame.GetTailAppend(); tail != nil {
			lastLsn := tail.Records[len(tail.Records)-1].Lsn
			sends := append([]host.Send(nil), h.sends...)
			h.step(&host.PeerFrame{Frame: &peerpb.Frame{From: peerName, Body: &peerpb.Frame_TailAck{TailAck: &peerpb.TailAck{Stream: tail.Stream, Lsn: lastLsn}}}})
			h.sends = append(sends, h.sends...)
		}
	}
}

// runPlatformOp executes an operation of the platform's object store and returns the reply, or
// nil for a watch, which never gets one.
func (h *benchHost) runPlatformOp(op host.PlatformOp) *host.PlatformReply {
	reply := &host.PlatformReply{ID: op.ID}
	object, found := h.objects[op.Key]
	switch op.Kind {
	case host.OpWatch:
		return nil
	case host.OpGet:
		if !found {
			reply.Status = host.OpNotFound
		}
		reply.Version, reply.Body = object.Version, object.Body
	case host.OpPut:
		if strings.HasPrefix(op.Key, "journal/") {
			reply.Version = 1
			return reply // acknowledged, but not stored
		}
		reply.Version = object.Version + 1
		h.objects[op.Key] = host.Object{Key: op.Key, Version: reply.Version, Body: op.Body}
	case host.OpListKeys, host.OpList:
		for key, object := range h.objects {
			if strings.HasPrefix(key, op.Key) {
				reply.Objects = append(reply.Objects, object)
			}
		}
	}
	return reply
}

// declarationText returns a declaration with the given numbers of targets, callers and rules. No
// rule matches.
func declarationText(targets, callers, rules int) string {
	var text strings.Builder
	text.WriteString("[service \"llm\"]\nqueue_limit = 1000000\nrepeat_limit = 0\nidle_timeout = 23h\n")
	for i := range targets {
		fmt.Fprintf(&text, "[target \"e%d\"]\nservice = llm\ndata_centre = a\nurl = http://10.0.0.1:%d\nbatch = 64\ncache_tokens = 1000000\n", i, i+1)
	}
	for i := range callers {
		fmt.Fprintf(&text, "[caller \"c%d\"]\ntoken_sha256 = %064x\n", i, i+1)
	}
	for i := range rules {
		fmt.Fprintf(&text, "[rule \"r%d\"]\nwhen = caller == \"nobody-%d\"\nthen = priority 3\n", i, i)
	}
	return text.String()
}

// createProgram creates a program and returns its name.
func (h *benchHost) createProgram(waiter uint64) ident.Program {
	h.step(&host.CreateProgram{Waiter: waiter, Caller: "c", Service: "llm", Budget: 1 << 40})
	for _, reply := range h.replies {
		if reply.Waiter == waiter {
			return reply.Outcome.Program
		}
	}
	// The reply came in the step of the tail's acknowledgement and is overwritten; the dump has
	// the name.
	programs := h.host.Dump().Programs
	return ident.Program(programs[len(programs)-1].Program)
}

// BenchmarkCall measures one complete call at its owner: submit, intent, send, answer, two
// round trips of the tail, reply.
func BenchmarkCall(b *testing.B) {
	for _, targets := range []int{10, 100, 1000, 3100} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) { benchmarkCall(b, targets, 0) })
	}
}

// BenchmarkCallRules measures one complete call with rules that do not match.
func BenchmarkCallRules(b *testing.B) {
	for _, rules := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("rules=%d", rules), func(b *testing.B) { benchmarkCall(b, 10, rules) })
	}
}

func benchmarkCall(b *testing.B, targets, rules int) {
	h := newBenchHost(b, declarationText(targets, 1, rules), 64)
	prompt := []byte(`[{"role":"user","content":"where do we dig"}]`)
	id, sequence := h.createProgram(1), uint32(0)
	b.ReportAllocs()
	h.stepCount, h.stepTime = 0, 0
	for b.Loop() {
		if sequence == 16 {
			h.step(&host.EndProgram{Waiter: 2, Caller: "c", Program: id})
			id, sequence = h.createProgram(1), 0
		}
		h.now += time.Millisecond
		h.step(&host.SubmitCall{Waiter: 3, Caller: "c", Program: id, Sequence: sequence, Idempotent: true, PromptTokens: 60, MaxTokens: 20, Prompt: prompt})
		require.Len(b, h.sends, 1)
		h.step(&host.TargetDone{Call: h.sends[0].Call, Target: h.sends[0].Target.Name, Answer: prompt, Usage: host.Usage{Prompt: 10, Output: 10}})
		sequence++
	}
	b.ReportMetric(float64(h.stepTime.Nanoseconds())/float64(h.stepCount), "ns/step")
	b.ReportMetric(float64(h.stepTime.Nanoseconds())/float64(b.N), "core-ns/call")
}

// BenchmarkIdleProgram reports the heap bytes of a program without turns.
func BenchmarkIdleProgram(b *testing.B) {
	for _, n := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("programs=%d", n), func(b *testing.B) {
			h := newBenchHost(b, declarationText(1, 1, 0), 64)
			before := heapBytes()
			for i := range n {
				h.now += 100 * time.Microsecond
				h.step(&host.CreateProgram{Waiter: uint64(i + 1), Caller: "c", Service: "llm", Budget: 1000})
				if i%500 == 0 {
					h.advance(host.TickInterval)
				}
			}
			for range 400 { // until all programs are written to the platform
				h.advance(300 * time.Millisecond)
			}
			after := heapBytes()
			for b.Loop() {
				h.advance(host.TickInterval)
			}
			b.ReportMetric(float64(after-before)/float64(n), "bytes/program")
		})
	}
}

// heapBytes returns the allocated heap after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkTick measures one tick of an idle host with peers in its data centre, each of which
// sends a heartbeat every 300 ms. It also reports the bytes per second sent to peers.
func BenchmarkTick(b *testing.B) {
	for _, peers := range []int{1, 7, 21, 319} {
		b.Run(fmt.Sprintf("peers=%d", peers), func(b *testing.B) {
			h := newBenchHost(b, declarationText(100, 1, 0), 256)
			receiveHeartbeats := func() {
				for i := range peers {
					h.receiveHeartbeat(fmt.Sprintf("a/p%d.1", i), nil)
				}
			}
			receiveHeartbeats()
			h.peerBytes = 0
			startedAt := h.now
			nextHeartbeats := h.now
			for b.Loop() {
				if h.now >= nextHeartbeats {
					receiveHeartbeats()
					nextHeartbeats += 300 * time.Millisecond
				}
				h.advance(host.TickInterval)
			}
			b.ReportMetric(float64(h.peerBytes)/(h.now-startedAt).Seconds(), "sent-B/s")
		})
	}
}

// BenchmarkHeartbeat measures the receipt of one heartbeat with the loads of up to 200 targets.
func BenchmarkHeartbeat(b *testing.B) {
	for _, targets := range []int{10, 100, 3100} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			h := newBenchHost(b, declarationText(targets, 1, 0), 64)
			var loads []*peerpb.TargetLoad
			for i := range min(targets, 200) {
				loads = append(loads, &peerpb.TargetLoad{Target: fmt.Sprintf("e%d", i), InFlight: 3, HeldTokens: 20_000})
			}
			for b.Loop() {
				h.receiveHeartbeat("b/p.1", loads)
			}
		})
	}
}

// BenchmarkDeclaration measures the parsing of one declaration, and reports its size and the
// heap bytes of the result.
func BenchmarkDeclaration(b *testing.B) {
	for _, size := range [][3]int{{10, 10, 10}, {100, 500, 100}, {3100, 6500, 1000}} {
		text := []byte(declarationText(size[0], size[1], size[2]))
		b.Run(fmt.Sprintf("targets=%d,callers=%d,rules=%d", size[0], size[1], size[2]), func(b *testing.B) {
			for b.Loop() {
				if _, err := decl.Parse("f", text); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(text)), "bytes")
			before := heapBytes()
			parsed, err := decl.Parse("f", text)
			require.NoError(b, err)
			b.ReportMetric(float64(heapBytes()-before), "heap-bytes")
			runtime.KeepAlive(parsed)
		})
	}
}
