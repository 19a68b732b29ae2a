package entry

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/held"
	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/core/routing"
	"github.com/pistachioarch/pistachioarch/daemon/quorum"
	"github.com/pistachioarch/pistachioarch/wire/wait"
)

const (
	// historyTimeout is the default bound of the wait for history hosts before a turn is
	// sent. A caller that is refused retries at another host.
	historyTimeout = 800 * time.Millisecond
	// maxSettlementWait bounds the wait for pending settlements before a turn is refused
	// because its budget is exhausted. A settlement takes about 5 ms, and the refusal ends
	// the program.
	maxSettlementWait      = 300 * time.Millisecond
	settlementPollInterval = 30 * time.Millisecond
	// unreachableHistoryTimeout is how long history hosts may be unreachable before a turn
	// that cannot be stored is aborted. Its caller then sends it again to another host;
	// otherwise it would wait for the end of the partition, or give up after two seconds or
	// more.
	unreachableHistoryTimeout = 500 * time.Millisecond
	// settleTimeout bounds the settling of a budget after an answer.
	settleTimeout = 3 * time.Second
)

// turn is the state of one turn of a program while it runs.
type turn struct {
	x          *exchange
	input      []byte
	output     []byte
	eventCount int64
	// chain holds the turns before this one, newest first. Their contents are parts of the request's body.
	chain []*historypb.Turn
	// ownChain is quorum.ProgramHistory.OwnChain.
	ownChain bool
	// reservedChainBytes is the memory reserved for a large chain before it is read.
	reservedChainBytes int64
	// historyProgram is the program name under which the turn and those before it are
	// stored; see exchange.historyProgram.
	historyProgram string
}

// defaultRetention applies to routes that do not set a retention.
const defaultRetention = 2 * time.Minute

// retention returns how long the program is stored after this turn. It covers a next turn that
// starts at the end of the route's retention.
func (x *exchange) retention() time.Duration {
	retention := max(cmp.Or(x.route.Retention, defaultRetention), x.call.ProgramTimeout)
	return retention + x.host.History.ExtraRetention(effectiveTimeout(0, x.route.Timeout))
}

// isTurn reports whether the request is a turn of a program: a stream of an engine service.
func (x *exchange) isTurn() bool {
	return x.route.Kind == routing.Streaming && x.call.Program != "" && x.engine != nil
}

// addEvent counts an event that is about to be sent to the caller, and adds it to the output of
// a retained turn. It reports false if there is no memory for it.
func (t *turn) addEvent(ctx context.Context, e event) bool {
	if t.x.route.Retained {
		// One copy in the output, one in the record of the turn.
		size := 2 * int64(len(e.data)+1)
		if t.x.held.reserve(ctx, held.Record, size, maxAnswerMemoryWait) != nil {
			return false
		}
		t.output = append(t.output, e.data...)
		t.output = append(t.output, '\n')
	}
	t.eventCount++
	return true
}

// isComplete reports whether the turn has delivered all tokens that are reserved for it.
func (t *turn) isComplete() bool {
	limit := t.x.call.MaxTokens
	return limit > 0 && t.deliveredTokens() >= limit
}

// deliveredTokens returns the number of tokens sent to the caller so far.
func (t *turn) deliveredTokens() int64 { return t.eventCount * t.x.engine.TokensPerEvent }

// serveTurn reserves budget, rebuilds the prompt, takes a quota token and forwards the turn.
func (x *exchange) serveTurn(ctx context.Context) error {
	t := &turn{x: x, input: x.body}
	var err error
	if t.historyProgram, err = x.historyProgram(); err != nil {
		return err
	}
	err = t.begin(ctx)
	if err == nil {
		err = x.awaitQuotaToken(ctx)
	}
	x.host.Meter.Observe("turn_begin", time.Since(x.startedAt))
	if err != nil {
		t.settle()
		return err
	}
	x.turn = t
	if x.continuesStream() {
		x.startVersionWrite() // the reservation was made before the version was known
	}
	if err = x.forward(ctx); err != nil {
		t.settle()
	}
	return err
}

// begin reserves the maximum number of tokens that the turn can generate, then reads the
// reservations of all turns of the program, the chain of turns that this one continues and the broken
// runs of its earlier attempts.
func (t *turn) begin(ctx context.Context) error {
	x := t.x
	if !x.host.History.IsServable(x.budgetProgram()) || !x.host.History.IsServable(t.historyProgram) {
		return failure.Retry(failure.HistoryUnavailable, x.historyRetryDelay(), "history hosts of the program are unreachable")
	}
	ctx, cancel := context.WithTimeout(ctx, x.host.HistoryTimeout)
	defer cancel()
	x.bindNewStream()
	if err := x.host.History.Write(ctx, x.budgetProgram(), x.retention(), t.reservationRecord()); err != nil {
		return t.historyFailure(err)
	}
	programHistory, err := t.readProgramHistory(ctx)
	if err != nil {
		return t.historyFailure(err)
	}
	if programHistory, err = t.checkBudget(ctx, programHistory); err != nil {
		return err
	}
	x.brokenRuns.Merge(programHistory.BrokenRuns)
	if err := x.crashLimitFailure(); err != nil {
		return err
	}
	if err := x.bindTakenUpStream(ctx, &programHistory.Usage); err != nil {
		return err
	}
	x.markCached(programHistory.Runs)
	x.programStarted = x.call.PreviousTurn != "" || programHistory.Usage.TokensExcluding(x.call.ID) > 0
	t.ownChain = programHistory.OwnChain
	return t.prependChain(ctx, programHistory.Chain)
}

// reservationRecord returns the record that reserves the tokens of the turn.
func (t *turn) reservationRecord() *historypb.Record {
	return &historypb.Record{Change: &historypb.Record_Reserve{
		Reserve: &historypb.Reserve{Turn: t.x.call.ID, Tokens: t.x.call.MaxTokens, SoftwareVersion: t.x.reservedVersion()},
	}}
}

// readProgramHistory reads the budget use of the program, the targets that ran its turns, and the
// chain of turns that this one continues.
func (t *turn) readProgramHistory(ctx context.Context) (*quorum.ProgramHistory, error) {
	x := t.x
	previous := ""
	if x.route.Retained {
		previous = x.customerScoped(x.call.PreviousTurn)
	}
	query := quorum.Query{Program: x.budgetProgram(), Parts: x.programPartIDs(), Request: x.fingerprint, ReserveChain: t.reserveChain(ctx)}
	if t.historyProgram == x.budgetProgram() || previous == "" {
		query.Turn = previous
		return x.host.History.ReadQuery(ctx, query)
	}
	budgetHistory, err := x.host.History.ReadQuery(ctx, query)
	if err != nil {
		return nil, err
	}
	chain, err := x.host.History.ReadQuery(ctx, quorum.Query{Program: t.historyProgram, Turn: previous, ReserveChain: query.ReserveChain})
	if err != nil {
		return nil, err
	}
	budgetHistory.Chain, budgetHistory.OwnChain = chain.Chain, chain.OwnChain
	return budgetHistory, nil
}

// checkBudget refuses the turn if the budget does not allow it. Before, it waits for pending
// settlements, up to maxSettlementWait, if they could free enough budget. It returns
// programHistory with the latest usage.
func (t *turn) checkBudget(ctx context.Context, programHistory *quorum.ProgramHistory) (*quorum.ProgramHistory, error) {
	call := &t.x.call
	for deadline := time.Now().Add(maxSettlementWait); ; {
		if call.TokenBudget == 0 || programHistory.Usage.Allows(call.ID, call.MaxTokens, call.TokenBudget) {
			return programHistory, nil
		}
		pending := programHistory.Usage.SettledTokensExcluding(call.ID)+call.MaxTokens <= call.TokenBudget && time.Now().Before(deadline)
		if !pending || !wait.For(ctx, settlementPollInterval) {
			return nil, failure.New(failure.BudgetExhausted, "other turns use %d of %d tokens, %d requested",
				programHistory.Usage.TokensExcluding(call.ID), call.TokenBudget, call.MaxTokens)
		}
		latest, err := t.x.host.History.Read(ctx, t.x.budgetProgram(), "")
		if err != nil {
			return nil, t.historyFailure(err)
		}
		programHistory.Usage = latest.Usage
	}
}

// historyFailure turns an error of history hosts into a failure with a retry delay, unless a retry
// cannot succeed.
func (t *turn) historyFailure(err error) error {
	f := *failure.From(err)
	switch f.Kind {
	case failure.UnknownTurn, failure.IncompleteChain, failure.Overloaded:
		return &f
	}
	f.Kind, f.Ran, f.RetryAfter = failure.HistoryUnavailable, failure.RanNo, t.x.historyRetryDelay()
	return &f
}

// historyRetryDelay returns the retry delay for a caller that history hosts could not serve.
func (x *exchange) historyRetryDelay() time.Duration {
	if x.isTurn() && x.host.History.IsIsolatedFromDataCentre() {
		return isolatedTurnRetryDelay
	}
	return x.host.historyRetryDelay()
}

// prependChain puts the chain, oldest turn first, before the new input, and keeps it for finish.
func (t *turn) prependChain(ctx context.Context, chain []*historypb.Turn) error {
	chainBytes, err := t.reserveMemory(ctx, chain)
	if err != nil || len(chain) == 0 {
		return err
	}
	defer t.x.held.release(held.Prompt, chainBytes)
	body := make([]byte, 0, len(t.input)+int(chainBytes))
	for _, previous := range slices.Backward(chain) {
		start := len(body)
		body = append(body, previous.Content...)
		previous.Content = body[start:len(body):len(body)]
	}
	t.x.body = append(body, t.input...)
	t.chain = chain
	return nil
}

// reserveChain returns a function that makes sure that memory is reserved for a chain of n bytes.
func (t *turn) reserveChain(ctx context.Context) func(n int64) error {
	return func(n int64) error {
		missing := n - t.reservedChainBytes
		if err := t.x.held.reserve(ctx, held.Prompt, missing, maxRequestMemoryWait); err != nil {
			return err
		}
		t.reservedChainBytes = max(t.reservedChainBytes, n)
		return nil
	}
}

// reserveMemory reserves memory for the chain, for the prompt that is built from it, and for the
// input in the record of the turn. It returns the size of the chain in bytes.
func (t *turn) reserveMemory(ctx context.Context, chain []*historypb.Turn) (chainBytes int64, err error) {
	for _, previous := range chain {
		chainBytes += int64(len(previous.Content))
	}
	inputBytes := int64(len(t.input))
	size := chainBytes
	if len(chain) > 0 {
		size += chainBytes + inputBytes
	}
	if t.x.route.Retained {
		size += inputBytes
	}
	return chainBytes, t.x.held.reserve(ctx, held.Prompt, size-t.reservedChainBytes, maxRequestMemoryWait)
}

// finish makes the turn and its budget use durable. The caller of a turn that is not retained
// does not wait for that, as the reservation holds until the settlement. This saves 5 to 8 ms
// per turn, and the whole turn if history hosts are unreachable.
func (t *turn) finish(ctx context.Context) error {
	if !t.x.route.Retained {
		t.settle()
		return nil
	}
	startedAt := time.Now()
	defer func() { t.x.host.Meter.Observe("turn_finish", time.Since(startedAt)) }()
	content := append(append([]byte(nil), t.input...), t.output...)
	records := []*historypb.Record{t.settlementRecord(), {Change: &historypb.Record_Turn{
		Turn: &historypb.Turn{Turn: t.x.customerScoped(t.x.call.ID), Previous: t.x.customerScoped(t.x.call.PreviousTurn), Content: content, Program: t.historyProgram},
	}}}
	if t.historyProgram != t.x.budgetProgram() {
		// The settlement stored with the turn only makes all replicas there retain the
		// turns before it.
		defer t.settle()
	}
	chain := quorum.Chain{Turns: t.chain, Own: t.ownChain, Reserve: t.x.reserveFunc(ctx, held.Record)}
	if err := t.x.host.History.WriteTurn(ctx, unreachableHistoryTimeout, t.historyProgram, t.x.retention(), chain, records...); err != nil {
		return failure.Unknown(failure.HistoryUnavailable, "turn not stored: %v", err)
	}
	return nil
}

// settlementRecord returns the record that replaces the reservation by the tokens delivered.
func (t *turn) settlementRecord() *historypb.Record {
	return &historypb.Record{Change: &historypb.Record_Settle{
		Settle: &historypb.Settle{Turn: t.x.call.ID, Tokens: t.deliveredTokens(), Ran: t.runRecord(), SoftwareVersion: t.x.softwareVersion},
	}}
}

// settle replaces the reservation of the turn by the tokens delivered, in the background: the
// caller does not wait for it.
func (t *turn) settle() {
	h := t.x.host
	h.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		if err := h.History.Write(ctx, t.x.budgetProgram(), t.x.retention(), t.settlementRecord()); err != nil {
			h.Meter.Count("budgets", "unsettled")
			h.Log.Warn("budget not settled", "request", t.x.call.ID, "program", t.x.call.Program, "tokens", t.deliveredTokens(), "error", err.Error())
		}
	})
}
