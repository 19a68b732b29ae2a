// Package load runs agent programs against entry hosts and checks the answers.
//
// It relies on the behaviour of the stand-ins (package standin): an engine's answer
// begins with a digest of the conversation that it received, which reveals a lost,
// mixed or reordered history at once; a plain service records every order that it
// executed.
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

// Kind describes one kind of agent program.
type Kind struct {
	Name          string
	Caller        string
	Token         string // authenticates the caller
	Service       string // of the engines
	Turns         int
	QuestionWords int           // length of each question
	Pause         time.Duration // after each turn, as for a tool
	MaxTokens     int64         // of each answer
	Stream        bool          // streams the answers
	// SubAgentTurns is the number of turns of a sub-agent that starts after the first
	// turn; 0 means no sub-agent.
	SubAgentTurns int
	// OrderService, if set, is the plain service that receives a non-idempotent order
	// as the program's last call.
	OrderService string
}

// Plan describes one run of the load tool.
type Plan struct {
	// Hosts are the addresses (host:port) at which the entry hosts serve callers. Each
	// request selects one at random, in place of a load balancer.
	Hosts    []string
	Kinds    []Kind // assigned to the programs in turn
	Programs int    // number of programs
	Parallel int    // programs that run at once
	Seed     uint64 // of the choice of hosts; also part of program keys and order ids
	// RetryTimeout bounds how long one request is retried.
	RetryTimeout time.Duration
	// Engines and OrderServices are the URLs of the stand-ins that are checked after
	// the run.
	Engines, OrderServices []string
	Client                 *http.Client
	// Progress, if set, is called after each program with the number of programs done.
	Progress func(done int, r ProgramResult)
}

// ProgramResult is the result of one program with its sub-agent.
type ProgramResult struct {
	Program                          string
	Kind                             string
	Calls, Answered, NotRun, Unknown int
	// Interrupted is the number of requests whose connection broke before they were
	// answered.
	Interrupted int
	Duration    time.Duration // without pauses between turns
	Violations  []string
	// Failures are the errors of calls that were not retried any more.
	Failures []string
}

// Report is the result of a run, summed over its programs.
type Report struct {
	Programs    int      `json:"programs"`
	Calls       int      `json:"calls"`
	Answered    int      `json:"answered"`
	NotRun      int      `json:"not_run"`
	Unknown     int      `json:"unknown"`
	Interrupted int      `json:"cut"`
	Violations  []string `json:"violations"`
	Failures    []string `json:"failures"`
	// P50MS, P95MS and P99MS are percentiles of the duration of whole programs, without
	// pauses between turns, in milliseconds.
	P50MS int64 `json:"program_p50_ms"`
	P95MS int64 `json:"program_p95_ms"`
	P99MS int64 `json:"program_p99_ms"`
}

// Summary returns the closing line of a run's output.
func (r *Report) Summary(name string) string {
	return fmt.Sprintf("%s: programs=%d calls=%d answered=%d not_run=%d unknown=%d violations=%d",
		name, r.Programs, r.Calls, r.Answered, r.NotRun, r.Unknown, len(r.Violations))
}

// runner is the state of one Run.
type runner struct {
	plan Plan
	mu   sync.Mutex
	rng  *rand.Rand // selects hosts

	orders        map[string]placedOrder // by order id
	endedPrograms []string               // ids
}

// placedOrder is an order as its caller knows it. The outcome is "answered" or whether
// the call ran, as the failure states it.
type placedOrder struct{ program, outcome string }

// Run runs the programs of a plan and checks the results. The report contains the
// violations; the error states that the plan is invalid or that the context ended.
func Run(ctx context.Context, plan Plan) (*Report, error) {
	if len(plan.Hosts) == 0 || len(plan.Kinds) == 0 {
		return nil, failure.New(failure.Usage, "plan has no hosts or no kinds of programs")
	}
	r := &runner{plan: plan, rng: rand.New(rand.NewPCG(plan.Seed, plan.Seed)), orders: map[string]placedOrder{}}
	results := make(chan ProgramResult)
	numbers := make(chan int)
	for range max(1, plan.Parallel) {
		go func() {
			for i := range numbers {
				results <- r.runProgram(ctx, i, plan.Kinds[i%len(plan.Kinds)])
			}
		}()
	}
	go func() {
		for i := range plan.Programs {
			numbers <- i
		}
		close(numbers)
	}()
	report := &Report{}
	durations := hdrhistogram.New(1, int64(time.Hour/time.Millisecond), 3)
	for i := range plan.Programs {
		result := <-results
		report.add(result)
		_ = durations.RecordValue(max(1, result.Duration.Milliseconds())) // durations of up to an hour are in range
		if plan.Progress != nil {
			plan.Progress(i+1, result)
		}
	}
	report.P50MS, report.P95MS, report.P99MS = durations.ValueAtQuantile(50), durations.ValueAtQuantile(95), durations.ValueAtQuantile(99)
	r.checkOrders(ctx, report)
	r.checkEngines(ctx, report)
	return report, ctx.Err()
}

// add adds the result of a program to the report.
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

// conversation is the state of one program as its caller knows it.
type conversation struct {
	r        *runner
	kind     Kind
	id       string
	sequence uint32        // of the next call
	messages []api.Message // of all answered turns, with the answers
	result   *ProgramResult
}

// runProgram runs the program with a number from its creation to its end.
func (r *runner) runProgram(ctx context.Context, number int, k Kind) ProgramResult {
	result := ProgramResult{Kind: k.Name}
	startedAt := time.Now()
	pauses := time.Duration(0)
	c, err := r.createProgram(ctx, k, "", fmt.Sprintf("load-%d-%d", r.plan.Seed, number), &result)
	if err != nil {
		result.recordNotCreated(err)
		return result
	}
	result.Program = c.id
	for turn := range k.Turns {
		if !c.askEngine(ctx, fmt.Sprintf("program %d turn %d %s", number, turn, strings.Repeat("word ", k.QuestionWords))) {
			break
		}
		if turn == 0 && k.SubAgentTurns > 0 {
			r.runSubAgent(ctx, c, number, &result)
		}
		time.Sleep(k.Pause)
		pauses += k.Pause
	}
	if k.OrderService != "" {
		c.placeOrder(ctx, number)
	}
	result.Duration = time.Since(startedAt) - pauses
	c.end(ctx)
	return result
}

// recordNotCreated counts a program that was not created as a call that did not run.
func (p *ProgramResult) recordNotCreated(err error) {
	p.Calls++
	p.NotRun++
	p.Failures = append(p.Failures, "program not created: "+failure.From(err).Error())
}

// runSubAgent runs the sub-agent of a program.
func (r *runner) runSubAgent(ctx context.Context, parent *conversation, number int, result *ProgramResult) {
	c, err := r.createProgram(ctx, parent.kind, parent.id, fmt.Sprintf("load-%d-%d-sub", r.plan.Seed, number), result)
	if err != nil {
		result.recordNotCreated(err)
		return
	}
	for turn := range parent.kind.SubAgentTurns {
		if !c.askEngine(ctx, fmt.Sprintf("sub-agent of %d turn %d", number, turn)) {
			break
		}
	}
	c.end(ctx)
}

// createProgram creates a program; parent is empty for one without a parent.
func (r *runner) createProgram(ctx context.Context, k Kind, parent, key string, result *ProgramResult) (*conversation, error) {
	var p api.Program
	err := r.retry(ctx, result, func(host string) error {
		var err error
		p, err = r.client(host, k).Create(ctx, api.CreateProgram{Service: k.Service, Parent: parent, Key: key})
		return err
	})
	return &conversation{r: r, kind: k, id: p.Program, result: result}, err
}

func (r *runner) client(host string, k Kind) *api.Client {
	return api.NewClient(r.plan.Client, "http://"+host, k.Token)
}

// retry sends a request to randomly selected hosts until it is answered, its failure
// is final, or RetryTimeout has passed. Every request of this package may be repeated
// because the system recognizes a repeated one.
func (r *runner) retry(ctx context.Context, result *ProgramResult, attempt func(host string) error) error {
	giveUpAt := time.Now().Add(r.plan.RetryTimeout)
	for {
		r.mu.Lock()
		host := r.plan.Hosts[r.rng.IntN(len(r.plan.Hosts))]
		r.mu.Unlock()
		err := attempt(host)
		if err != nil && failure.From(err).Kind == failure.PeerUnavailable && failure.From(err).Ran != failure.RanNo {
			result.Interrupted++
		}
		if err == nil || isFinal(err) || time.Now().After(giveUpAt) || ctx.Err() != nil {
			return err
		}
		time.Sleep(max(20*time.Millisecond, min(failure.From(err).RetryAfter, time.Second)))
	}
}

// isFinal reports whether a retry would fail in the same way.
func isFinal(err error) bool {
	f := failure.From(err)
	switch f.Kind {
	case failure.PeerUnavailable, failure.DeadlineExceeded:
		return false // the connection failed, not the call
	}
	return f.RetryAfter == 0
}

// askEngine sends one question to an engine, checks its answer and reports whether it
// was answered.
func (c *conversation) askEngine(ctx context.Context, question string) bool {
	turn := []api.Message{{Role: "user", Content: question}}
	turnJSON, _ := json.Marshal(turn) // strings always encode
	call := api.Call{Sequence: c.sequence, MaxTokens: c.kind.MaxTokens, Messages: turnJSON}
	answer, err := c.send(ctx, call)
	if !c.recordResult(err) {
		return false
	}
	c.messages = append(c.messages, turn...)
	prefix := "digest=" + standin.Digest(c.messages)
	if !strings.HasPrefix(answer.Answer, prefix) {
		c.recordViolation("call %d answered %.40q, want %s", c.sequence, answer.Answer, prefix)
	}
	if answer.Program != c.id || answer.Sequence != c.sequence {
		c.recordViolation("call %d got the answer of %s call %d", c.sequence, answer.Program, answer.Sequence)
	}
	c.messages = append(c.messages, api.Message{Role: "assistant", Content: answer.Answer})
	c.sequence++
	return true
}

// send sends a call. The text of a streamed call must be equal to its answer or to the
// end of it.
func (c *conversation) send(ctx context.Context, call api.Call) (api.Answer, error) {
	var a api.Answer
	err := c.r.retry(ctx, c.result, func(host string) error {
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
			c.recordViolation("call %d streamed another text than its answer", call.Sequence)
		}
		return err
	})
	return a, err
}

// placeOrder sends a non-idempotent order as the program's last call and records its
// outcome for checkOrders.
func (c *conversation) placeOrder(ctx context.Context, number int) {
	id := fmt.Sprintf("order-%d-%d", c.r.plan.Seed, number)
	body, _ := json.Marshal(map[string]string{"order": id}) // strings always encode
	idempotent := false
	_, err := c.send(ctx, api.Call{Sequence: c.sequence, Service: c.kind.OrderService, Idempotent: &idempotent, Body: body})
	outcome := "answered"
	if !c.recordResult(err) {
		outcome = string(failure.From(err).Ran)
	}
	c.r.mu.Lock()
	defer c.r.mu.Unlock()
	c.r.orders[id] = placedOrder{program: c.id, outcome: outcome}
}

// recordResult counts the result of a call and reports whether it was answered.
func (c *conversation) recordResult(err error) bool {
	c.result.Calls++
	if err != nil {
		c.result.Failures = append(c.result.Failures, fmt.Sprintf("%s call %d: %s", c.id, c.sequence, failure.From(err)))
	}
	switch {
	case err == nil:
		c.result.Answered++
	case failure.From(err).Ran == failure.RanNo:
		c.result.NotRun++
	default:
		c.result.Unknown++
	}
	return err == nil
}

// recordViolation adds a violation, preceded by the program id.
func (c *conversation) recordViolation(format string, args ...any) {
	c.result.Violations = append(c.result.Violations, c.id+": "+fmt.Sprintf(format, args...))
}

// end ends the program; an engine must then release its cache.
func (c *conversation) end(ctx context.Context) {
	err := c.r.retry(ctx, c.result, func(host string) error { return c.r.client(host, c.kind).End(ctx, c.id) })
	if err != nil {
		return
	}
	c.r.mu.Lock()
	defer c.r.mu.Unlock()
	c.r.endedPrograms = append(c.r.endedPrograms, c.id)
}
