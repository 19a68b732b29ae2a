// Package capacity measures the slopes from which docs/CAPACITY.md works out the
// cost of each role at full size. Run it with `make capacity`.
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

// bed is one Host with a platform that answers at once and one peer that
// acknowledges its tail.
type bed struct {
	b       testing.TB
	h       *host.Host
	now     time.Duration
	objects map[string]host.Object
	replies []host.Reply
	sends   []host.Send
	bytes   int // of messages to peers
	steps   int
	spent   time.Duration // in Step
}

const peerName = "z/peer.1"

func newBed(b testing.TB, declaration string, slots int) *bed {
	x := &bed{b: b, objects: map[string]host.Object{}}
	x.objects[host.ConfigKey] = host.Object{Key: host.ConfigKey, Version: 1, Body: fmt.Appendf(nil, `{"version":1,"nonce":"n","text":%q}`, declaration)}
	var err error
	x.h, err = host.New(host.Config{Host: "h", DataCentre: "a", Incarnation: "1", Address: "h", Slots: slots, MaxTailBytes: 1 << 30, MaxPrograms: 1 << 20})
	require.NoError(b, err)
	x.step(&host.Start{})
	x.heartbeat(peerName, nil)
	for range 300 {
		x.pass(host.TickEvery)
	}
	return x
}

func (x *bed) heartbeat(from string, loads []*peerpb.TargetLoad) {
	dc, _, _ := strings.Cut(from, "/")
	x.step(&host.PeerFrame{Frame: &peerpb.Frame{From: from, Body: &peerpb.Frame_Heartbeat{Heartbeat: &peerpb.Heartbeat{
		DataCentre: dc, Address: from, PlatformReachable: true, ConfigVersion: 1, Loads: loads,
	}}}})
}

func (x *bed) pass(d time.Duration) {
	x.now += d
	if x.now%(200*time.Millisecond) < d {
		x.heartbeat(peerName, nil)
	}
	x.step(&host.Tick{})
}

// step gives an event and answers what the host asks for.
func (x *bed) step(ev host.Event) {
	begun := time.Now()
	x.h.Step(x.now, ev)
	x.spent += time.Since(begun)
	x.steps++
	rd := x.h.Ready()
	ops := append([]host.PlatformOp(nil), rd.Ops...)
	messages := append([]host.PeerMessage(nil), rd.Messages...)
	x.replies = append(x.replies[:0], rd.Replies...)
	x.sends = append(x.sends[:0], rd.Sends...)
	for _, op := range ops {
		if r := x.platform(op); r != nil {
			x.step(r)
		}
	}
	for _, m := range messages {
		x.bytes += proto.Size(m.Frame)
		if t := m.Frame.GetTailAppend(); t != nil {
			last := t.Records[len(t.Records)-1].Lsn
			sends := append([]host.Send(nil), x.sends...)
			x.step(&host.PeerFrame{Frame: &peerpb.Frame{From: peerName, Body: &peerpb.Frame_TailAck{TailAck: &peerpb.TailAck{Stream: t.Stream, Lsn: last}}}})
			x.sends = append(sends, x.sends...)
		}
	}
}

func (x *bed) platform(op host.PlatformOp) *host.PlatformReply {
	r := &host.PlatformReply{ID: op.ID}
	o, found := x.objects[op.Key]
	switch op.Kind {
	case host.OpWatch:
		return nil
	case host.OpGet:
		if !found {
			r.Status = host.OpNotFound
		}
		r.Version, r.Body = o.Version, o.Body
	case host.OpPut:
		if strings.HasPrefix(op.Key, "journal/") {
			r.Version = 1
			return r // counted, not kept
		}
		r.Version = o.Version + 1
		x.objects[op.Key] = host.Object{Key: op.Key, Version: r.Version, Body: op.Body}
	case host.OpKeys, host.OpList:
		for key, o := range x.objects {
			if strings.HasPrefix(key, op.Key) {
				r.Objects = append(r.Objects, o)
			}
		}
	}
	return r
}

func declaration(targets, callers, rules int) string {
	var b strings.Builder
	b.WriteString("[service \"llm\"]\nqueue_limit = 1000000\nrepeat_limit = 0\nidle_timeout = 23h\n")
	for i := range targets {
		fmt.Fprintf(&b, "[target \"e%d\"]\nservice = llm\ndata_centre = a\nurl = http://10.0.0.1:%d\nbatch = 64\ncache_tokens = 1000000\n", i, i+1)
	}
	for i := range callers {
		fmt.Fprintf(&b, "[caller \"c%d\"]\ntoken_sha256 = %064x\n", i, i+1)
	}
	for i := range rules {
		fmt.Fprintf(&b, "[rule \"r%d\"]\nwhen = caller == \"nobody-%d\"\nthen = priority 3\n", i, i)
	}
	return b.String()
}

func (x *bed) create(waiter uint64) ident.Program {
	x.step(&host.CreateProgram{Waiter: waiter, Caller: "c", Service: "llm", Budget: 1 << 40})
	for _, r := range x.replies {
		if r.Waiter == waiter {
			return r.Outcome.Program
		}
	}
	// The reply came while the tail was acknowledged; the dump has the name.
	all := x.h.Dump().Programs
	return ident.Program(all[len(all)-1].Program)
}

// BenchmarkCall is one whole call at its owner: submit, intent, send, answer,
// two tail round trips, reply.
func BenchmarkCall(b *testing.B) {
	for _, targets := range []int{10, 100, 1000, 3100} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) { benchmarkCall(b, targets, 0) })
	}
}

// BenchmarkCallRules is the same with rules that do not match.
func BenchmarkCallRules(b *testing.B) {
	for _, rules := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("rules=%d", rules), func(b *testing.B) { benchmarkCall(b, 10, rules) })
	}
}

func benchmarkCall(b *testing.B, targets, rules int) {
	x := newBed(b, declaration(targets, 1, rules), 64)
	prompt := []byte(`[{"role":"user","content":"where do we dig"}]`)
	id, sequence := x.create(1), uint32(0)
	b.ReportAllocs()
	x.steps, x.spent = 0, 0
	for b.Loop() {
		if sequence == 16 {
			x.step(&host.EndProgram{Waiter: 2, Caller: "c", Program: id})
			id, sequence = x.create(1), 0
		}
		x.now += time.Millisecond
		x.step(&host.SubmitCall{Waiter: 3, Caller: "c", Program: id, Sequence: sequence, Idempotent: true, PromptTokens: 60, MaxTokens: 20, Prompt: prompt})
		require.Len(b, x.sends, 1)
		x.step(&host.TargetDone{Call: x.sends[0].Call, Target: x.sends[0].Target.Name, Answer: prompt, Usage: host.Usage{Prompt: 10, Output: 10}})
		sequence++
	}
	b.ReportMetric(float64(x.spent.Nanoseconds())/float64(x.steps), "ns/step")
	b.ReportMetric(float64(x.spent.Nanoseconds())/float64(b.N), "core-ns/call")
}

// BenchmarkIdleProgram reports the resident bytes of a program without turns.
func BenchmarkIdleProgram(b *testing.B) {
	for _, n := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("programs=%d", n), func(b *testing.B) {
			x := newBed(b, declaration(1, 1, 0), 64)
			before := heap()
			for i := range n {
				x.now += 100 * time.Microsecond
				x.step(&host.CreateProgram{Waiter: uint64(i + 1), Caller: "c", Service: "llm", Budget: 1000})
				if i%500 == 0 {
					x.pass(host.TickEvery)
				}
			}
			for range 400 { // until all is at the platform
				x.pass(300 * time.Millisecond)
			}
			after := heap()
			for b.Loop() {
				x.pass(host.TickEvery)
			}
			b.ReportMetric(float64(after-before)/float64(n), "bytes/program")
		})
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkTick is one tick of an idle host with so many peers in its data
// centre, of which a heartbeat came each 300 ms; it also reports the bytes sent
// to peers each second.
func BenchmarkTick(b *testing.B) {
	for _, peers := range []int{1, 7, 21, 319} {
		b.Run(fmt.Sprintf("peers=%d", peers), func(b *testing.B) {
			x := newBed(b, declaration(100, 1, 0), 256)
			beats := func() {
				for i := range peers {
					x.heartbeat(fmt.Sprintf("a/p%d.1", i), nil)
				}
			}
			beats()
			x.bytes = 0
			begun := x.now
			due := x.now
			for b.Loop() {
				if x.now >= due {
					beats()
					due += 300 * time.Millisecond
				}
				x.pass(host.TickEvery)
			}
			b.ReportMetric(float64(x.bytes)/(x.now-begun).Seconds(), "sent-B/s")
		})
	}
}

// BenchmarkHeartbeat is one heartbeat received, with loads of so many targets.
func BenchmarkHeartbeat(b *testing.B) {
	for _, targets := range []int{10, 100, 3100} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			x := newBed(b, declaration(targets, 1, 0), 64)
			var loads []*peerpb.TargetLoad
			for i := range min(targets, 200) {
				loads = append(loads, &peerpb.TargetLoad{Target: fmt.Sprintf("e%d", i), InFlight: 3, HeldTokens: 20_000})
			}
			for b.Loop() {
				x.heartbeat("b/p.1", loads)
			}
		})
	}
}

// BenchmarkDeclaration is the acceptance of one declaration of the size.
func BenchmarkDeclaration(b *testing.B) {
	for _, size := range [][3]int{{10, 10, 10}, {100, 500, 100}, {3100, 6500, 1000}} {
		text := []byte(declaration(size[0], size[1], size[2]))
		b.Run(fmt.Sprintf("targets=%d,callers=%d,rules=%d", size[0], size[1], size[2]), func(b *testing.B) {
			for b.Loop() {
				if _, err := decl.Parse("f", text); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(text)), "bytes")
			before := heap()
			set, err := decl.Parse("f", text)
			require.NoError(b, err)
			b.ReportMetric(float64(heap()-before), "heap-bytes")
			runtime.KeepAlive(set)
		})
	}
}
