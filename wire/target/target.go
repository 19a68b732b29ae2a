// Package target implements the client for model engines and plain services.
//
// An engine offers OpenAI-style streaming chat completions and endpoints for its load and
// its cache:
//
//	POST   /v1/chat/completions   Completion; answers with SSE
//	GET    /v1/load               Load
//	GET    /v1/cache              Cache
//	DELETE /v1/cache/PROGRAM      releases the program's KV cache
//
// Every call carries the call ID and a fencing token of slot and epoch. An engine that
// checks fencing tokens rejects an older epoch of the slot with 412. The statuses 429, 412
// and, with NotStartedHeader, 503 prove that a call did not start.
package target

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"

	"github.com/dghubble/sling"

	"github.com/pistachioarch/pistachioarch/core/decl"
	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/host"
	"github.com/pistachioarch/pistachioarch/core/ident"
	"github.com/pistachioarch/pistachioarch/wire/api"
)

// Headers of requests to targets and of their answers.
const (
	CallHeader         = "X-Call-Id"
	FencingTokenHeader = "X-Fencing-Token" // "<slot>:<epoch>"
	NotStartedHeader   = "X-Not-Started"
)

const (
	// maxAnswerBytes bounds an answer, so that its record fits into an object of the platform.
	maxAnswerBytes = 256 << 10
	// maxStreamBytes bounds the event stream of an answer, framing included, and a report.
	maxStreamBytes = 8 << 20
	// maxLineBytes bounds one line of an event stream.
	maxLineBytes = 1 << 20
)

// Completion is the body of a chat completion request.
type Completion struct {
	Messages  []api.Message `json:"messages"`
	MaxTokens int64         `json:"max_tokens"`
	Stream    bool          `json:"stream"`
	// Priority orders the requests that wait inside the engine, higher values first.
	Priority int64 `json:"priority"`
	// Program is the program that owns the KV cache.
	Program string `json:"program"`
}

// CompletionChunk is the data of one event of the answer. The last chunk before DoneMarker
// has Usage.
type CompletionChunk struct {
	ID      string            `json:"id"`
	Choices []CompletionDelta `json:"choices"`
	Usage   *CompletionUsage  `json:"usage,omitempty"`
}

// CompletionDelta is an increment of the answer.
type CompletionDelta struct {
	Delta        api.Message `json:"delta"`
	FinishReason string      `json:"finish_reason,omitempty"`
}

// CompletionUsage counts the tokens of a completion.
type CompletionUsage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	CachedTokens     int64 `json:"cached_tokens"`
}

// Load is the load report of an engine. It lags behind the actual load.
type Load struct {
	Running int `json:"running"`
	Queued  int `json:"queued"`
}

// Cache lists the programs whose KV cache an engine holds.
type Cache struct {
	Programs []string `json:"programs"`
}

// DoneMarker is the content of the last data line of an event stream.
const DoneMarker = "[DONE]"

// Client sends requests to targets.
type Client struct{ http *http.Client }

// New returns a client that uses h.
func New(h *http.Client) *Client { return &Client{http: h} }

// Call makes one attempt at a call and returns its outcome. The text of an engine's answer is
// passed to onChunk as it arrives. If the context ends after the target was dialled, the
// outcome is TargetLost.
func (c *Client) Call(ctx context.Context, s *host.Send, onChunk func(string)) *host.TargetDone {
	done := &host.TargetDone{Call: s.Call, Target: s.Target.Name}
	req, err := newRequest(s)
	if err != nil {
		done.Outcome, done.Detail = host.TargetInvalid, failure.From(err).Error()
		return done
	}
	req.Header.Set(CallHeader, s.Call.ID())
	req.Header.Set(FencingTokenHeader, FencingToken(s.Slot, s.Epoch))
	resp, err := c.http.Do(req.WithContext(ctx))
	if err != nil {
		done.Outcome, done.Detail = outcomeOfError(err), err.Error()
		return done
	}
	defer func() { _ = resp.Body.Close() }() // the rest of a broken answer is not needed
	if resp.StatusCode != http.StatusOK {
		readRefusal(resp, done)
		return done
	}
	if s.Kind == decl.Engine {
		readCompletion(resp.Body, done, onChunk)
		return done
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err == nil && len(body) > maxAnswerBytes {
		err = failure.New(failure.TooLarge, "answer is longer than %d bytes", maxAnswerBytes)
	}
	if err != nil {
		done.Outcome, done.Detail = host.TargetLost, err.Error()
		return done
	}
	done.Answer, done.Echo = body, resp.Header.Get(CallHeader)
	return done
}

// FencingToken returns the fencing token of an epoch of a slot, "<slot>:<epoch>".
func FencingToken(slot ident.Slot, epoch uint64) string { return slot.String() + ":" + api.Itoa(epoch) }

func newRequest(s *host.Send) (*http.Request, error) {
	base := sling.New().Base(strings.TrimSuffix(s.Target.URL, "/") + "/")
	if s.Kind == decl.Plain {
		req, err := base.Post("").Body(bytes.NewReader(s.Prompt)).Set("Content-Type", "application/json").Request()
		return req, failure.Wrap(err, failure.BadRequest, "request")
	}
	messages, err := conversation(s)
	if err != nil {
		return nil, err
	}
	req, err := base.Post("v1/chat/completions").BodyJSON(Completion{
		Messages: messages, MaxTokens: s.MaxTokens, Stream: true, Priority: s.Priority, Program: string(s.Call.Program),
	}).Request()
	return req, failure.Wrap(err, failure.BadRequest, "request")
}

// conversation returns the program's earlier messages and answers at this service, followed
// by the new messages.
func conversation(s *host.Send) ([]api.Message, error) {
	var messages []api.Message
	for _, t := range s.History {
		if t.Service != s.Target.Service {
			continue
		}
		if err := appendMessages(&messages, t.Prompt); err != nil {
			return nil, err
		}
		messages = append(messages, api.Message{Role: "assistant", Content: string(t.Answer)})
	}
	return messages, appendMessages(&messages, s.Prompt)
}

func appendMessages(messages *[]api.Message, raw []byte) error {
	var added []api.Message
	if err := json.Unmarshal(raw, &added); err != nil {
		return failure.Wrap(err, failure.BadRequest, "messages")
	}
	*messages = append(*messages, added...)
	return nil
}

// outcomeOfError returns TargetRefused for a request that cannot have reached the target, and
// TargetLost for one that may have run.
func outcomeOfError(err error) host.TargetOutcome {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return host.TargetRefused
	}
	return host.TargetLost
}

func readRefusal(resp *http.Response, done *host.TargetDone) {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, 512)) // used for the detail only
	done.Detail = resp.Status + " " + strings.TrimSpace(string(text))
	switch code := resp.StatusCode; {
	case code == http.StatusPreconditionFailed:
		done.Outcome = host.TargetFenced
	case code == http.StatusTooManyRequests, code == http.StatusServiceUnavailable && resp.Header.Get(NotStartedHeader) != "":
		done.Outcome = host.TargetRefused
	case code < http.StatusInternalServerError:
		done.Outcome = host.TargetInvalid
	default:
		done.Outcome = host.TargetLost
	}
}

// readCompletion reads the event stream of an answer into done. The answer is complete only
// if the last chunk, which has the usage, and DoneMarker were received.
func readCompletion(r io.Reader, done *host.TargetDone, onChunk func(string)) {
	scan := bufio.NewScanner(io.LimitReader(r, maxStreamBytes))
	scan.Buffer(nil, maxLineBytes)
	var text strings.Builder
	hasUsage := false
	for scan.Scan() {
		data, ok := strings.CutPrefix(scan.Text(), "data: ")
		if !ok {
			continue
		}
		if data == DoneMarker {
			if hasUsage {
				done.Answer = []byte(text.String())
				return
			}
			break
		}
		var chunk CompletionChunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			break
		}
		done.Echo = chunk.ID
		for _, d := range chunk.Choices {
			if text.Len()+len(d.Delta.Content) > maxAnswerBytes {
				done.Outcome, done.Detail = host.TargetLost, "answer is too long"
				return
			}
			if d.Delta.Content != "" {
				text.WriteString(d.Delta.Content)
				onChunk(d.Delta.Content)
			}
		}
		if u := chunk.Usage; u != nil {
			hasUsage = true
			done.Usage = host.Usage{Prompt: u.PromptTokens, Output: u.CompletionTokens, Cached: u.CachedTokens}
		}
	}
	done.Outcome, done.Detail = host.TargetLost, "answer stream ended early or could not be decoded"
}

// Release asks a target to release the KV cache of a program. OK of the result is false if
// the request failed.
func (c *Client) Release(ctx context.Context, r *host.Release) *host.ReleaseDone {
	done := &host.ReleaseDone{Target: r.Target.Name, Program: r.Program}
	s := sling.New().Base(strings.TrimSuffix(r.Target.URL, "/")+"/").Delete("v1/cache/"+url.PathEscape(string(r.Program))).
		Set(FencingTokenHeader, FencingToken(r.Slot, r.Epoch))
	req, err := s.Request()
	if err != nil {
		return done
	}
	resp, err := c.http.Do(req.WithContext(ctx))
	if err != nil {
		return done
	}
	_ = resp.Body.Close() // only the status matters
	// A plain service has no cache and answers 404 or 405.
	done.OK = resp.StatusCode < http.StatusMultipleChoices || resp.StatusCode == http.StatusNotFound || resp.StatusCode == http.StatusMethodNotAllowed
	return done
}

// Get reads a JSON report of a target, such as Load or Cache, into out. The failure is of kind
// TargetFailed, or BadRequest for an invalid address.
func (c *Client) Get(ctx context.Context, t *decl.Target, path string, out any) error {
	req, err := sling.New().Base(strings.TrimSuffix(t.URL, "/") + "/").Get(path).Request()
	if err != nil {
		return failure.Wrap(err, failure.BadRequest, "request")
	}
	resp, err := c.http.Do(req.WithContext(ctx))
	if err != nil {
		return failure.Wrap(err, failure.TargetFailed, "report of %s", t.Name)
	}
	defer func() { _ = resp.Body.Close() }() // the body was decoded or is not needed
	if resp.StatusCode != http.StatusOK {
		return failure.New(failure.TargetFailed, "report of %s: %s", t.Name, resp.Status)
	}
	return failure.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxStreamBytes)).Decode(out), failure.TargetFailed, "report of %s", t.Name)
}
