// Package api holds the JSON types of the callers' and operators' HTTP
// interface, and its clients.
package api

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/pistachioarch/pistachioarch/core/failure"
)

// CreateProgram is the body of POST /v1/programs.
type CreateProgram struct {
	Service string `json:"service"`
	// Budget in tokens; 0 takes the caller's declared budget.
	Budget *int64 `json:"budget,omitempty"`
	// DeadlineMS bounds the whole program, 0 = none.
	DeadlineMS int64 `json:"deadline_ms,omitempty"`
	// Parent makes the program a sub-agent, which draws on its parent's budget.
	Parent string `json:"parent,omitempty"`
	// Key makes the request idempotent.
	Key string `json:"key,omitempty"`
}

// Program is the answer to CreateProgram.
type Program struct {
	Program string `json:"program"`
}

// Message is one chat message.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Call is the body of POST /v1/programs/{id}/calls. An engine takes Messages,
// the new ones only; a plain service takes Body as it is.
type Call struct {
	Sequence   uint32          `json:"sequence"`
	Service    string          `json:"service,omitempty"`
	Idempotent *bool           `json:"idempotent,omitempty"` // default true
	MaxTokens  int64           `json:"max_tokens,omitempty"`
	DeadlineMS int64           `json:"deadline_ms,omitempty"`
	Stream     bool            `json:"stream,omitempty"`
	Messages   json.RawMessage `json:"messages,omitempty"`
	Body       json.RawMessage `json:"body,omitempty"`
}

// Usage counts tokens.
type Usage struct {
	PromptTokens int64 `json:"prompt_tokens"`
	OutputTokens int64 `json:"output_tokens"`
	CachedTokens int64 `json:"cached_tokens"`
}

// Answer is the answer to a call.
type Answer struct {
	Program  string `json:"program"`
	Sequence uint32 `json:"sequence"`
	Answer   string `json:"answer"`
	Target   string `json:"target"`
	Usage    Usage  `json:"usage"`
}

// Error is the body of every response that is not a success.
type Error struct {
	Type         failure.Kind `json:"type"`
	Ran          failure.Ran  `json:"ran"`
	RetryAfterMS int64        `json:"retry_after_ms"`
	Detail       string       `json:"detail"`
}

// Chunk is the data of an SSE event "chunk".
type Chunk struct {
	Text string `json:"text"`
}

// The names of the SSE events of a streamed call. After "restart" what was
// streamed so far is void; "answer" and "error" are final.
const (
	EventChunk   = "chunk"
	EventRestart = "restart"
	EventAnswer  = "answer"
	EventError   = "error"
)

// ErrorOf gives the JSON form of a failure.
func ErrorOf(f *failure.Failure) Error {
	return Error{Type: f.Kind, Ran: f.Ran, RetryAfterMS: f.RetryAfter.Milliseconds(), Detail: f.Detail}
}

// Failure gives the failure that e stands for.
func (e Error) Failure() *failure.Failure {
	return &failure.Failure{Kind: e.Type, Ran: e.Ran, Detail: e.Detail, RetryAfter: time.Duration(e.RetryAfterMS) * time.Millisecond}
}

var statuses = map[failure.Kind]int{
	failure.BadRequest:       http.StatusBadRequest,
	failure.TooLarge:         http.StatusRequestEntityTooLarge,
	failure.Unauthorized:     http.StatusUnauthorized,
	failure.Forbidden:        http.StatusForbidden,
	failure.UnknownProgram:   http.StatusNotFound,
	failure.UnknownCall:      http.StatusNotFound,
	failure.UnknownService:   http.StatusNotFound,
	failure.SequenceGap:      http.StatusConflict,
	failure.BodyChanged:      http.StatusConflict,
	failure.HistoryTooLong:   http.StatusUnprocessableEntity,
	failure.BudgetExhausted:  http.StatusPaymentRequired,
	failure.RateLimited:      http.StatusTooManyRequests,
	failure.Rejected:         http.StatusForbidden,
	failure.ProgramEnded:     http.StatusGone,
	failure.LoopDetected:     http.StatusGone,
	failure.TurnLimit:        http.StatusGone,
	failure.TargetFailed:     http.StatusBadGateway,
	failure.OwnerLost:        http.StatusBadGateway,
	failure.Corrupt:          http.StatusInternalServerError,
	failure.Internal:         http.StatusInternalServerError,
	failure.DeadlineExceeded: http.StatusGatewayTimeout,
}

// Status is the HTTP status of a failure.
func Status(k failure.Kind) int {
	if s, ok := statuses[k]; ok {
		return s
	}
	return http.StatusServiceUnavailable
}

// Itoa formats an unsigned number.
func Itoa[N uint32 | uint64](n N) string { return strconv.FormatUint(uint64(n), 10) }
