// Package load runs agent programs against entry hosts and checks what they get.
//
// It knows what the stand-ins answer: an engine's answer begins with a digest of
// the conversation it was sent, so that a lost, mixed or reordered history shows
// at once; a plain service remembers every order it executed.
package load

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/ctl/standin"
	"github.com/pistachioarch/pistachioarch/wire/api"
)

// Kind is one sort of agent program.
type Kind struct {
	Name          string
	Caller        string
	Token         string
	Service       string
	Turns         int
	QuestionWords int // of each question
	Pause         time.Duration
	MaxTokens     int64
	Stream        bool
	// SubAgentTurns starts a sub-agent of so many turns after the first turn.
	SubAgentTurns int
	// OrderService, when set, is the plain service at which the last turn places a
	// non-idempotent order.
	OrderService string
}

// Plan is what Run does.
type Plan struct {
	// Hosts are the callers' addresses of the entry hosts; a balancer would
	// choose among them, here each request does, at random.
	Hosts    []string
	Kinds    []Kind
	Programs int
	Parallel int
	Seed     uint64
	// RetryTimeout bounds how long one call is tried again.
	RetryTimeout time.Duration
	// Engines and OrderServices are URLs of stand-ins to check afterwards.
	Engines, OrderServices []string
	Client                 *http.Client
	// Progress is called after each program.
	Progress func(done int, r ProgramResult)
}

// ProgramResult is what one program got.
type ProgramResult struct {
	Program                          string
	Kind                             string
	Calls, Answered, NotRun, Unknown int
	// Interrupted counts requests whose connection broke before they were answered.
	Interrupted int
	Duration    time.Duration // without pauses
	Violations  []string
	// Failures are the errors that ended calls for good.
	Failures []string
}

// Report is the sum of a run.
type Report struct {
	Programs    int      `json:"programs"`
	Calls       int      `json:"calls"`
	Answered    int      `json:"answered"`
	NotRun      int      `json:"not_run"`
	Unknown     int      `json:"unknown"`
	Interrupted int      `json:"cut"`
	Violations  []string `json:"violations"`
	Failures    []string `json:"failures"`
	// Times are of whole programs, without tool pauses, in milliseconds.
	P50MS int64 `json:"program_p50_ms"`
	P95MS int64 `json:"program_p95_ms"`
	P99MS int64 `json:"program_p99_ms"`
}

// Summary is the closing line of a run.
func (r *Report) Summary(name string) string {
	return fmt.Sprintf("%s: programs=%d calls=%d answered=%d not_run=%d unknown=%d violations=%d",
		name, r.Programs, r.Calls, r.Answered, r.NotRun, r.Unknown, len(r.Violations))
}

// runner is one Run.
type runner struct {
	plan Plan
	mu   sync.Mutex
	rng  *rand.Rand

	orders map[string]placed // by order id
	ended  []string
}

// placed is an order as its caller knows it.
type placed struct{ program, outcome string }

// Run carries out the plan. Violations are in the report; the error is of
// trouble with the run itself.
func Run(ctx context.Context, plan Plan) (*Report, error) {
	if len(plan.Hosts) == 0 || len(plan.Kinds) == 0 {
		return nil, failure.New(failure.Usage, "a load needs hosts and kinds of programs")
	}
	r := &runner{plan: plan, rng: rand.New(rand.NewPCG(plan.Seed, plan.Seed)), orders: map[string]placed{}}
	results := make(chan ProgramResult)
	next := make(chan int)
	for range max(1, plan.Parallel) {
		go func() {
			for i := range next {
				results <- r.program(ctx, i, plan.Kinds[i%len(plan.Kinds)])
			}
		}()
	}
	go func() {
		for i := range plan.Programs {
			next <- i
		}
		close(next)
	}()
	report := &Report{}
	times := hdrhistogram.New(1, int64(time.Hour/time.Millisecond), 3)
	for i := range plan.Programs {
		res := <-results
		report.add(res)
		_ = times.RecordValue(max(1, res.Duration.Milliseconds())) // in range
		if plan.Progress != nil {
			plan.Progress(i+1, res)
		}
	}
	report.P50MS, report.P95MS, report.P99MS = times.ValueAtQuantile(50), times.ValueAtQuantile(95), times.ValueAtQuantile(99)
	r.checkOrders(ctx, report)
	r.checkEngines(ctx, report)
	return report, ctx.Err()
}

func (r *Report) add(p ProgramResult) {
	r.Programs++
	r.Calls += p.Calls
	r.Answered += p.Answered
	r.NotRun += p.NotRun
	r.Unknown += p.Unknown
	r.Interrupted += p.Interrupted
	r.Violations = append(r.Violations, p.Violations...)
	r.Failures = append(r.Failures, p.Failures...)
}

// conversation is one program from its caller's side.
type conversation struct {
	r        *runner
	kind     Kind
	id       string
	sequence uint32
	messages []api.Message
	res      *ProgramResult
}

func (r *runner) program(ctx context.Context, number int, k Kind) ProgramResult {
	res := ProgramResult{Kind: k.Name}
	begun := time.Now()
	paused := time.Duration(0)
	c, err := r.open(ctx, k, "", fmt.Sprintf("load-%d-%d", r.plan.Seed, number), &res)
	if err != nil {
		res.notCreated(err)
		return res
	}
	res.Program = c.id
	for turn := range k.Turns {
		if !c.ask(ctx, fmt.Sprintf("program %d turn %d %s", number, turn, strings.Repeat("word ", k.QuestionWords))) {
			break
		}
		if turn == 0 && k.SubAgentTurns > 0 {
			r.subAgent(ctx, c, number, &res)
		}
		time.Sleep(k.Pause)
		paused += k.Pause
	}
	if k.OrderService != "" {
		c.order(ctx, number)
	}
	res.Duration = time.Since(begun) - paused
	c.end(ctx)
	return res
}

func (p *ProgramResult) notCreated(err error) {
	p.Calls++
	p.NotRun++
	p.Failures = append(p.Failures, "no program: "+failure.From(err).Error())
}

func (r *runner) subAgent(ctx context.Context, parent *conversation, number int, res *ProgramResult) {
	c, err := r.open(ctx, parent.kind, parent.id, fmt.Sprintf("load-%d-%d-sub", r.plan.Seed, number), res)
	if err != nil {
		res.notCreated(err)
		return
	}
	for turn := range parent.kind.SubAgentTurns {
		if !c.ask(ctx, fmt.Sprintf("sub-agent of %d turn %d", number, turn)) {
			break
		}
	}
	c.end(ctx)
}

func (r *runner) open(ctx context.Context, k Kind, parent, key string, res *ProgramResult) (*conversation, error) {
	var p api.Program
	err := r.persist(ctx, res, func(host string) error {
		var err error
		p, err = r.client(host, k).Create(ctx, api.CreateProgram{Service: k.Service, Parent: parent, Key: key})
		return err
	})
	return &conversation{r: r, kind: k, id: p.Program, res: res}, err
}

func (r *runner) client(host string, k Kind) *api.Client {
	return api.NewClient(r.plan.Client, "http://"+host, k.Token)
}

// persist tries a request at one host after another until it is answered, it is
// refused for good, or patience ends. Every request here may be repeated: the
// system knows it again.
func (r *runner) persist(ctx context.Context, res *ProgramResult, try func(host string) error) error {
	limit := time.Now().Add(r.plan.RetryTimeout)
	for {
		r.mu.Lock()
		host := r.plan.Hosts[r.rng.IntN(len(r.plan.Hosts))]
		r.mu.Unlock()
		err := try(host)
		if err != nil && failure.From(err).Kind == failure.PeerUnavailable && failure.From(err).Ran != failure.RanNo {
			res.Interrupted++
		}
		if err == nil || final(err) || time.Now().After(limit) || ctx.Err() != nil {
			return err
		}
		time.Sleep(max(20*time.Millisecond, min(failure.From(err).RetryAfter, time.Second)))
	}
}

// final reports whether another try would be answered alike.
func final(err error) bool {
	f := failure.From(err)
	switch f.Kind {
	case failure.PeerUnavailable, failure.DeadlineExceeded:
		return false // the way broke, not the call
	}
	return f.RetryAfter == 0
}

// ask makes one call of an engine and checks its answer.
func (c *conversation) ask(ctx context.Context, question string) bool {
	ask := []api.Message{{Role: "user", Content: question}}
	raw, _ := json.Marshal(ask) // strings
	call := api.Call{Sequence: c.sequence, MaxTokens: c.kind.MaxTokens, Messages: raw}
	a, err := c.send(ctx, call)
	if !c.count(err) {
		return false
	}
	c.messages = append(c.messages, ask...)
	want := "digest=" + standin.Digest(c.messages)
	if !strings.HasPrefix(a.Answer, want) {
		c.violate("call %d answered %.40q, want %s", c.sequence, a.Answer, want)
	}
	if a.Program != c.id || a.Sequence != c.sequence {
		c.violate("call %d got the answer of %s call %d", c.sequence, a.Program, a.Sequence)
	}
	c.messages = append(c.messages, api.Message{Role: "assistant", Content: a.Answer})
	c.sequence++
	return true
}

// send makes a call; a streamed one must stream just what its answer says.
func (c *conversation) send(ctx context.Context, call api.Call) (api.Answer, error) {
	var a api.Answer
	err := c.r.persist(ctx, c.res, func(host string) error {
		client := c.r.client(host, c.kind)
		var err error
		if !c.kind.Stream || call.Body != nil {
			a, err = client.Call(ctx, c.id, call)
			return err
		}
		var text strings.Builder
		a, err = client.Stream(ctx, c.id, call, func(event, data string) {
			var chunk api.Chunk
			if event == api.EventRestart {
				text.Reset()
			} else if json.Unmarshal([]byte(data), &chunk) == nil {
				text.WriteString(chunk.Text)
			}
		})
		if err == nil && text.Len() > 0 && !strings.HasSuffix(a.Answer, text.String()) {
			c.violate("call %d streamed another text than its answer", call.Sequence)
		}
		return err
	})
	return a, err
}

// order places a non-idempotent order as the program's last call.
func (c *conversation) order(ctx context.Context, number int) {
	id := fmt.Sprintf("order-%d-%d", c.r.plan.Seed, number)
	body, _ := json.Marshal(map[string]string{"order": id}) // strings
	no := false
	_, err := c.send(ctx, api.Call{Sequence: c.sequence, Service: c.kind.OrderService, Idempotent: &no, Body: body})
	outcome := "answered"
	if !c.count(err) {
		outcome = string(failure.From(err).Ran)
	}
	c.r.mu.Lock()
	defer c.r.mu.Unlock()
	c.r.orders[id] = placed{program: c.id, outcome: outcome}
}

func (c *conversation) count(err error) bool {
	c.res.Calls++
	if err != nil {
		c.res.Failures = append(c.res.Failures, fmt.Sprintf("%s call %d: %s", c.id, c.sequence, failure.From(err)))
	}
	switch {
	case err == nil:
		c.res.Answered++
	case failure.From(err).Ran == failure.RanNo:
		c.res.NotRun++
	default:
		c.res.Unknown++
	}
	return err == nil
}

func (c *conversation) violate(format string, args ...any) {
	c.res.Violations = append(c.res.Violations, c.id+": "+fmt.Sprintf(format, args...))
}

func (c *conversation) end(ctx context.Context) {
	err := c.r.persist(ctx, c.res, func(host string) error { return c.r.client(host, c.kind).End(ctx, c.id) })
	if err != nil {
		return
	}
	c.r.mu.Lock()
	defer c.r.mu.Unlock()
	c.r.ended = append(c.r.ended, c.id)
}
