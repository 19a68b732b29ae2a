package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pistachioarch/pistachioarch/core/ident"
	"github.com/pistachioarch/pistachioarch/wire/api"
	"github.com/pistachioarch/pistachioarch/wire/target"
	"github.com/pistachioarch/pistachioarch/wire/wait"
)

// EngineConfig sets the capacity and speed of an Engine.
type EngineConfig struct {
	BatchSize       int           // calls that run at once; 0 means 8
	CacheTokens     int64         // size of the prefix cache, in tokens; 0 means 120,000
	PrefillPerToken time.Duration // time per prompt token that is not cached
	DecodePerToken  time.Duration // time per output token
	OutputTokens    int64         // length of an answer, bounded by the request; 0 means 16
	ChecksFencing   bool          // refuses requests with an old fencing token
	ReportLag       time.Duration // age of load reports
}

// EngineFaults are the faults that an Engine can show. In fields that select each
// n-th event, 0 means never.
type EngineFaults struct {
	// Refuse answers calls with 503 and the header that states that the call was
	// not started.
	Refuse bool `json:"refuse"`
	// BreakEvery breaks the connection in the middle of each n-th answer.
	BreakEvery int `json:"break"`
	// Freeze leaves every request without an answer.
	Freeze bool `json:"freeze"`
	// SlowMS is the delay added to every answer, in milliseconds.
	SlowMS int64 `json:"slow_ms"`
	// CrossEvery answers each n-th call with the answer and the call id of the
	// call before it.
	CrossEvery int `json:"cross"`
	// FailReleaseEvery answers each n-th cache release with an error and leaves
	// the cache as it is.
	FailReleaseEvery int `json:"lose_orders"`
	// HideCacheEvery omits each n-th program from the cache report.
	HideCacheEvery int `json:"hide_cache"`
	// ExtraReportLagMS is added to the age of load reports, in milliseconds.
	ExtraReportLagMS int64 `json:"late_ms"`
	// IgnoreFencing accepts old fencing tokens.
	IgnoreFencing bool `json:"ignore_fencing"`
}

// EngineCall is the record of one call that an Engine started. Its field names are
// keys of the JSON that GET /v1/calls returns.
type EngineCall struct {
	ID       string // as received from the host
	Program  string
	Sequence int       // second part of ID; -1 if ID does not have three
	Epoch    uint64    // of the fencing token; 0 without one
	At       time.Time // start
	Done     bool      // ran to its end
	Prompt   int64     // length in tokens
	Output   int64     // length in tokens; 0 until Done
}

// Engine is a stand-in for a model engine with continuous batching and a prefix
// cache of limited size.
type Engine struct {
	cfg EngineConfig

	mu             sync.Mutex
	faults         EngineFaults
	running        int
	queued         int
	capacityFreed  chan struct{}     // closed and replaced when a call leaves the batch
	cache          map[string]int64  // tokens by program
	recentPrograms []string          // cached programs, least recently used first
	fencingEpochs  map[string]uint64 // highest epoch received, by slot
	calls          []EngineCall
	lastID         string // call id of the latest call, for CrossEvery
	// lastChunks is the answer to the call lastID.
	lastChunks  []string
	faultCounts map[string]int // events by fault that affects each n-th one
	loadHistory []loadSample   // oldest first
	cacheHits   int64          // prompt tokens found in the cache
	cacheMisses int64          // prompt tokens not found in it
}

// loadSample is the engine's load from one instant on.
type loadSample struct {
	at   time.Time
	load target.Load
}

// NewEngine returns an idle engine.
func NewEngine(cfg EngineConfig) *Engine {
	if cfg.BatchSize == 0 {
		cfg.BatchSize = 8
	}
	if cfg.CacheTokens == 0 {
		cfg.CacheTokens = 120_000
	}
	if cfg.OutputTokens == 0 {
		cfg.OutputTokens = 16
	}
	return &Engine{
		cfg: cfg, capacityFreed: make(chan struct{}), cache: map[string]int64{}, fencingEpochs: map[string]uint64{}, faultCounts: map[string]int{},
	}
}

// SetFaults replaces the active faults.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

func (e *Engine) currentFaults() EngineFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// Calls returns the calls that the engine has started, in order of their start.
func (e *Engine) Calls() []EngineCall {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.calls)
}

// CachedPrograms returns the programs in the prefix cache, least recently used
// first.
func (e *Engine) CachedPrograms() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.recentPrograms)
}

// ClearCache empties the prefix cache, as a restart of the process does.
func (e *Engine) ClearCache() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache, e.recentPrograms = map[string]int64{}, nil
}

// Handler returns the handler of the engine protocol (package wire/target), of the
// recorded calls and of the faults.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.handleCompletion)
	mux.HandleFunc("GET /v1/load", func(w http.ResponseWriter, r *http.Request) {
		if e.hangIfFrozen(r) {
			return
		}
		writeJSON(w, e.reportedLoad())
	})
	mux.HandleFunc("GET /v1/cache", func(w http.ResponseWriter, r *http.Request) {
		if e.hangIfFrozen(r) {
			return
		}
		writeJSON(w, target.Cache{Programs: e.reportedPrograms()})
	})
	mux.HandleFunc("GET /v1/calls", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Calls()) })
	mux.HandleFunc("DELETE /v1/cache/{program}", e.handleRelease)
	registerFaultHandlers(mux, e.currentFaults, e.SetFaults)
	return mux
}

// hangIfFrozen reports whether the engine is frozen; if so, it first blocks until
// the client ends the request.
func (e *Engine) hangIfFrozen(r *http.Request) bool {
	frozen := e.currentFaults().Freeze
	if frozen {
		<-r.Context().Done()
	}
	return frozen
}

// isNthTime counts an event of a fault and reports whether it is an n-th one; 0
// means never. The caller holds mu.
func (e *Engine) isNthTime(fault string, n int) bool {
	if n == 0 {
		return false
	}
	e.faultCounts[fault]++
	return e.faultCounts[fault]%n == 0
}

// CountTokens returns the number of tokens that the stand-ins count in a text: one
// for every four bytes, rounded up, and so no more than there are bytes.
func CountTokens(text string) int64 { return int64(len(text)+3) / 4 }

// Digest returns the digest of a conversation with which the engine begins its
// answer. It lets the client verify that the engine received the complete history
// and no other.
func Digest(messages []api.Message) string {
	var b strings.Builder
	for _, m := range messages {
		fmt.Fprintf(&b, "%s\x00%s\x00", m.Role, m.Content)
	}
	return strconv.FormatUint(ident.Hash([]byte(b.String())), 16)
}

// Answer returns the engine's complete answer to a conversation, of the given number
// of tokens or of the digest alone if that is longer.
func Answer(messages []api.Message, tokens int64) string {
	return strings.Join(answerChunks(messages, tokens), "")
}

// answerChunks returns the answer in the chunks that the engine streams.
func answerChunks(messages []api.Message, tokens int64) []string {
	chunks := []string{"digest=" + Digest(messages)}
	for i := CountTokens(chunks[0]); i < tokens; i++ {
		chunks = append(chunks, " abc") // one token
	}
	return chunks
}

func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	var c target.Completion
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if e.hangIfFrozen(r) {
		return
	}
	e.mu.Lock()
	refuse, faults := e.faults.Refuse, e.faults
	slot, epoch := parseFencingToken(r.Header.Get(target.FencingTokenHeader))
	stale := epoch < e.fencingEpochs[slot]
	e.fencingEpochs[slot] = max(e.fencingEpochs[slot], epoch)
	e.mu.Unlock()
	if refuse {
		w.Header().Set(target.NotStartedHeader, "true")
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	if stale && e.cfg.ChecksFencing && !faults.IgnoreFencing {
		http.Error(w, "old fencing token", http.StatusPreconditionFailed)
		return
	}
	if !e.acquireCapacity(r) {
		return
	}
	defer e.releaseCapacity()
	e.execute(w, r, &c, epoch)
}

// parseFencingToken splits a token of the form slot:epoch.
func parseFencingToken(token string) (slot string, epoch uint64) {
	slot, epochText, _ := strings.Cut(token, ":")
	epoch, _ = strconv.ParseUint(epochText, 10, 64) // a missing token means epoch 0
	return slot, epoch
}

// acquireCapacity waits until fewer than BatchSize calls run and adds one to the batch.
// It returns false if the client ends the request first.
func (e *Engine) acquireCapacity(r *http.Request) bool {
	e.mu.Lock()
	e.queued++
	e.recordLoad()
	for e.running >= e.cfg.BatchSize {
		freed := e.capacityFreed
		e.mu.Unlock()
		select {
		case <-freed:
		case <-r.Context().Done():
			e.mu.Lock()
			e.queued--
			e.mu.Unlock()
			return false
		}
		e.mu.Lock()
	}
	e.queued--
	e.running++
	e.recordLoad()
	e.mu.Unlock()
	return true
}

// releaseCapacity removes a call from the batch and wakes the queued calls.
func (e *Engine) releaseCapacity() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	e.recordLoad()
	close(e.capacityFreed)
	e.capacityFreed = make(chan struct{})
}

// execute runs one call: prefill of the uncached tokens, then the output.
func (e *Engine) execute(w http.ResponseWriter, r *http.Request, c *target.Completion, epoch uint64) {
	prompt := int64(0)
	for _, m := range c.Messages {
		prompt += CountTokens(m.Content)
	}
	output := min(e.cfg.OutputTokens, c.MaxTokens)
	id := r.Header.Get(target.CallHeader)
	index, cached := e.startCall(id, c.Program, epoch, prompt)
	e.mu.Lock()
	breakConnection := e.isNthTime("break", e.faults.BreakEvery)
	delay := time.Duration(e.faults.SlowMS) * time.Millisecond
	chunks := answerChunks(c.Messages, output)
	if e.isNthTime("cross", e.faults.CrossEvery) && e.lastID != "" {
		id, chunks, e.lastID, e.lastChunks = e.lastID, e.lastChunks, id, chunks
	} else {
		e.lastID, e.lastChunks = id, chunks
	}
	e.mu.Unlock()
	if !wait.For(r.Context(), delay+e.cfg.PrefillPerToken*time.Duration(prompt-cached)) {
		return
	}
	events := json.NewEncoder(&eventWriter{w})
	w.Header().Set("Content-Type", "text/event-stream")
	for i, chunk := range chunks {
		if breakConnection && i > 0 {
			panic(http.ErrAbortHandler)
		}
		if !wait.For(r.Context(), e.cfg.DecodePerToken) {
			return
		}
		_ = events.Encode(target.CompletionChunk{ID: id, Choices: []target.CompletionDelta{{Delta: api.Message{Role: "assistant", Content: chunk}}}})
		_ = http.NewResponseController(w).Flush() // a disconnected client ends the next sleep
	}
	e.finishCall(index, c.Program, prompt, output)
	_ = events.Encode(target.CompletionChunk{ID: id, Usage: &target.CompletionUsage{PromptTokens: prompt, CompletionTokens: output, CachedTokens: cached}})
	_, _ = w.Write([]byte("data: " + target.DoneMarker + "\n\n"))
}

// eventWriter frames each JSON value as a server-sent event.
type eventWriter struct{ w http.ResponseWriter }

func (s *eventWriter) Write(b []byte) (int, error) {
	if _, err := s.w.Write([]byte("data: ")); err != nil {
		return 0, err
	}
	if _, err := s.w.Write(b); err != nil {
		return 0, err
	}
	_, err := s.w.Write([]byte("\n"))
	return len(b), err
}

// startCall records a call and caches its prompt. It returns the call's index in
// calls and the number of its prompt tokens that were cached before.
func (e *Engine) startCall(id, program string, epoch uint64, prompt int64) (index int, cached int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	sequence := -1
	if parts := strings.Split(id, "/"); len(parts) == 3 {
		sequence, _ = strconv.Atoi(parts[1]) // hosts send well-formed call ids
	}
	cached = min(e.cache[program], prompt)
	e.cacheHits += cached
	e.cacheMisses += prompt - cached
	e.calls = append(e.calls, EngineCall{ID: id, Program: program, Sequence: sequence, Epoch: epoch, At: time.Now(), Prompt: prompt})
	e.cacheProgram(program, prompt)
	return len(e.calls) - 1, cached
}

// finishCall records that a call ran to its end, and caches its output unless the
// program was evicted meanwhile.
func (e *Engine) finishCall(index int, program string, prompt, output int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls[index].Done, e.calls[index].Output = true, output
	if _, cached := e.cache[program]; cached {
		e.cacheProgram(program, prompt+output)
	}
}
