package entry

import (
	"cmp"
	"context"
	"time"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/held"
	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/core/routing"
	"github.com/pistachioarch/pistachioarch/daemon/quorum"
)

const (
	// historyPatience bounds the wait for history hosts before a turn is sent: a
	// caller that is refused comes back to another host.
	historyPatience = 800 * time.Millisecond
	// settlementWait is how long a refusal for want of budget waits for settlements on
	// their way: one takes some 5 ms, and the refusal ends the program.
	settlementWait = 300 * time.Millisecond
	settlementPoll = 30 * time.Millisecond
	// cutPatience is how long history hosts may be out of reach until a turn that cannot be
	// kept is broken off: its caller sends it again elsewhere, and would else wait for the end
	// of the cut, or give up after two seconds and more.
	cutPatience = 500 * time.Millisecond
	// settlePatience bounds the settling of a budget after an answer.
	settlePatience = 3 * time.Second
)

// turn is one turn of a program while it runs.
type turn struct {
	x      *exchange
	input  []byte
	output []byte
	events int64
	// kept is the program under which the turn and those before it are kept; see keptAs.
	kept string
}

// defaultRetention is for routes that do not say how long programs are kept.
const defaultRetention = 2 * time.Minute

// retention is how long the program is kept after this turn: also while a next turn runs that
// begins at its end.
func (x *exchange) retention() time.Duration {
	keep := max(cmp.Or(x.route.Retention, defaultRetention), x.call.ProgramTimeout)
	return keep + x.host.History.Outlast(patience(0, x.route.Timeout))
}

func (x *exchange) isTurn() bool {
	return x.route.Kind == routing.Streaming && x.call.Program != "" && x.engine != nil
}

// note counts an event that is about to go to the caller, or reports that there is no
// room to keep it.
func (t *turn) note(ctx context.Context, e event) bool {
	if t.x.route.Retained {
		// Once here, once in the record of the turn.
		copies := 2 * int64(len(e.data)+1)
		if t.x.held.reserve(ctx, held.Record, copies, maxAnswerMemoryWait) != nil {
			return false
		}
		t.output = append(t.output, e.data...)
		t.output = append(t.output, '\n')
	}
	t.events++
	return true
}

// tokens is what was handed to the caller so far.
func (t *turn) tokens() int64 { return t.events * t.x.engine.TokensPerEvent }

// serveTurn reserves budget, rebuilds the prompt, and forwards the turn.
func (x *exchange) serveTurn(ctx context.Context) error {
	t := &turn{x: x, input: x.body}
	var err error
	if t.kept, err = x.keptAs(); err != nil {
		return err
	}
	err = t.begin(ctx)
	if err == nil {
		err = x.withinQuota(ctx)
	}
	x.host.Meter.Observe("turn_begin", time.Since(x.began))
	if err != nil {
		t.settle()
		return err
	}
	x.turn = t
	if err = x.forward(ctx); err != nil {
		t.settle()
	}
	return err
}

// begin reserves the most that the turn can generate, then reads what all turns
// of the program reserved before and the chain that this one continues.
func (t *turn) begin(ctx context.Context) error {
	x := t.x
	if !x.host.History.Servable(x.program()) || !x.host.History.Servable(t.kept) {
		return failure.Retry(failure.HistoryUnavailable, x.comeBack(), "history hosts of the program are out of reach")
	}
	ctx, cancel := context.WithTimeout(ctx, x.host.HistoryTimeout)
	defer cancel()
	reserve := &historypb.Record{Change: &historypb.Record_Reserve{
		Reserve: &historypb.Reserve{Turn: x.call.ID, Tokens: x.call.MaxTokens},
	}}
	history := x.host.History
	if err := history.Write(ctx, x.program(), x.retention(), reserve); err != nil {
		return t.later(err)
	}
	past, err := t.past(ctx)
	if err != nil {
		return t.later(err)
	}
	if past, err = t.afford(ctx, past); err != nil {
		return err
	}
	x.markCached(past.Ran)
	x.underWay = x.call.PreviousTurn != "" || past.Usage.TokensExcluding(x.call.ID) > 0
	return t.prepend(ctx, past.Chain, past.Elsewhere)
}

// past reads the budget use of the program, where its turns ran, and the chain that the turn
// continues.
func (t *turn) past(ctx context.Context) (*quorum.Past, error) {
	x := t.x
	previous := ""
	if x.route.Retained {
		previous = x.owned(x.call.PreviousTurn)
	}
	if t.kept == x.program() || previous == "" {
		return x.host.History.Read(ctx, x.program(), previous, x.programPartIDs()...)
	}
	past, err := x.host.History.Read(ctx, x.program(), "", x.programPartIDs()...)
	if err != nil {
		return nil, err
	}
	chain, err := x.host.History.Read(ctx, t.kept, previous)
	if err != nil {
		return nil, err
	}
	past.Chain, past.Elsewhere = chain.Chain, chain.Elsewhere
	return past, nil
}

// afford refuses the turn if the budget does not allow it, once no settlement that
// would make room can be on its way any more. It returns the newest reading.
func (t *turn) afford(ctx context.Context, past *quorum.Past) (*quorum.Past, error) {
	call := &t.x.call
	for end := time.Now().Add(settlementWait); ; {
		if call.TokenBudget == 0 || past.Usage.Allows(call.ID, call.MaxTokens, call.TokenBudget) {
			return past, nil
		}
		wait := past.Usage.SettledTokensExcluding(call.ID)+call.MaxTokens <= call.TokenBudget && time.Now().Before(end)
		if !wait || !sleep(ctx, settlementPoll) {
			return nil, failure.New(failure.BudgetExhausted, "%d of %d used by others, %d wanted",
				past.Usage.TokensExcluding(call.ID), call.TokenBudget, call.MaxTokens)
		}
		newer, err := t.x.host.History.Read(ctx, t.x.program(), "")
		if err != nil {
			return nil, t.later(err)
		}
		past.Usage = newer.Usage
	}
}

// sleep waits, or reports that the context ended.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// later tells the caller to come back, unless trying again cannot help.
func (t *turn) later(err error) error {
	f := *failure.From(err)
	if f.Kind == failure.UnknownTurn {
		return &f
	}
	f.Kind, f.Ran, f.RetryAfter = failure.HistoryUnavailable, failure.RanNo, t.x.comeBack()
	return &f
}

// comeBack is when the caller should try again after history hosts could not serve it.
func (x *exchange) comeBack() time.Duration {
	if x.isTurn() && x.host.History.CutAlone() {
		return isolatedTurnRetryDelay
	}
	return x.host.historyRetryDelay()
}

// prepend puts the chain, oldest turn first, before the new input. A chain that
// another program kept is copied, so that it lives as long as this program.
func (t *turn) prepend(ctx context.Context, chain []*historypb.Turn, elsewhere bool) error {
	kept, err := t.hold(ctx, chain)
	if err != nil || len(chain) == 0 {
		return err
	}
	defer t.x.held.release(held.Prompt, kept)
	size := len(t.input) + int(kept)
	body := make([]byte, 0, size)
	for i := len(chain) - 1; i >= 0; i-- {
		body = append(body, chain[i].Content...)
	}
	t.x.body = append(body, t.input...)
	if !elsewhere {
		return nil
	}
	records := make([]*historypb.Record, 0, len(chain))
	for _, c := range chain {
		records = append(records, &historypb.Record{Change: &historypb.Record_Turn{Turn: c}})
	}
	if err := t.x.host.History.Write(ctx, t.kept, t.x.retention(), records...); err != nil {
		return t.later(err)
	}
	return nil
}

// hold makes room for the chain, which is kept bytes long, the prompt that is built of it,
// and the input in the record of the turn.
func (t *turn) hold(ctx context.Context, chain []*historypb.Turn) (kept int64, err error) {
	for _, c := range chain {
		kept += int64(len(c.Content))
	}
	input := int64(len(t.input))
	more := kept
	if len(chain) > 0 {
		more += kept + input
	}
	if t.x.route.Retained {
		more += input
	}
	return kept, t.x.held.reserve(ctx, held.Prompt, more, maxRequestMemoryWait)
}

// finish makes the turn and its budget use durable. Where no later turn needs this
// one, its caller does not wait for that: what was reserved holds until then. That
// saves 5 to 8 ms a turn, and the whole turn where history hosts are cut off.
func (t *turn) finish(ctx context.Context) error {
	if !t.x.route.Retained {
		t.settle()
		return nil
	}
	began := time.Now()
	defer func() { t.x.host.Meter.Observe("turn_finish", time.Since(began)) }()
	content := append(append([]byte(nil), t.input...), t.output...)
	records := []*historypb.Record{t.settlement(), {Change: &historypb.Record_Turn{
		Turn: &historypb.Turn{Turn: t.x.owned(t.x.call.ID), Previous: t.x.owned(t.x.call.PreviousTurn), Content: content},
	}}}
	if t.kept != t.x.program() {
		// The settlement beside the turn only makes all replicas there keep the turns before it.
		defer t.settle()
	}
	if err := t.x.host.History.WriteWithin(ctx, cutPatience, t.kept, t.x.retention(), records...); err != nil {
		return failure.Unknown(failure.HistoryUnavailable, "turn not kept: %v", err)
	}
	return nil
}

func (t *turn) settlement() *historypb.Record {
	return &historypb.Record{Change: &historypb.Record_Settle{
		Settle: &historypb.Settle{Turn: t.x.call.ID, Tokens: t.tokens(), Ran: t.runRecord()},
	}}
}

// settle replaces the reservation of a turn that did not end whole by what was
// handed out, without the caller waiting for it.
func (t *turn) settle() {
	h := t.x.host
	h.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), settlePatience)
		defer cancel()
		if err := h.History.Write(ctx, t.x.program(), t.x.retention(), t.settlement()); err != nil {
			h.Meter.Count("budgets", "unsettled")
			h.Log.Warn("budget not settled", "request", t.x.call.ID, "program", t.x.call.Program, "tokens", t.tokens(), "error", err.Error())
		}
	})
}
