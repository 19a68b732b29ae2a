// Package api defines the JSON types of the HTTP interface for callers and operators,
// and its client.
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
	// Budget is the token budget; 0 selects the declared budget of the caller.
	Budget *int64 `json:"budget,omitempty"`
	// DeadlineMS bounds the duration of the whole program in milliseconds; 0 means no bound.
	DeadlineMS int64 `json:"deadline_ms,omitempty"`
	// Parent is the program of which this one is a sub-agent. A sub-agent draws on the budget
	// of its parent.
	Parent string `json:"parent,omitempty"`
	// Key is an idempotency key.
	Key string `json:"key,omitempty"`
}

// Program is the response to CreateProgram.
type Program struct {
	Program string `json:"program"`
}

// Message is one chat message.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Call is the body of POST /v1/programs/{id}/calls. A call to an engine has Messages,
// only those that are new since the previous call. A call to a plain service has Body,
// which is passed on unchanged.
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

// Answer is the response to a call.
type Answer struct {
	Program  string `json:"program"`
	Sequence uint32 `json:"sequence"`
	Answer   string `json:"answer"`
	Target   string `json:"target"`
	Usage    Usage  `json:"usage"`
}

// Error is the body of every unsuccessful response.
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

// The names of the SSE events of a streamed call. "restart" invalidates all chunks
// before it; "answer" and "error" are final.
const (
	EventChunk   = "chunk"
	EventRestart = "restart"
	EventAnswer  = "answer"
	EventError   = "error"
)

// ErrorOf returns the JSON form of a failure.
func ErrorOf(f *failure.Failure) Error {
	return Error{Type: f.Kind, Ran: f.Ran, RetryAfterMS: f.RetryAfter.Milliseconds(), Detail: f.Detail}
}

// Failure returns the failure that e describes.
func (e Error) Failure() *failure.Failure {
	return &failure.Failure{Kind: e.Type, Ran: e.Ran, Detail: e.Detail, RetryAfter: time.Duration(e.RetryAfterMS) * time.Millisecond}
}

var httpStatuses = map[failure.Kind]int{
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

// Status returns the HTTP status for a kind of failure, 503 for kinds without a status of
// their own.
func Status(k failure.Kind) int {
	if s, ok := httpStatuses[k]; ok {
		return s
	}
	return http.StatusServiceUnavailable
}

// Itoa formats an unsigned integer in base 10.
func Itoa[N uint32 | uint64](n N) string { return strconv.FormatUint(uint64(n), 10) }
