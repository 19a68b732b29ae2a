// Package target is the client of model engines and plain services.
//
// An engine speaks OpenAI-style streaming chat completions, and takes orders:
//
//	POST   /v1/chat/completions   Completion; answers with SSE
//	GET    /v1/load               Load
//	GET    /v1/cache              Cache
//	DELETE /v1/cache/PROGRAM      releases the program's KV cache
//
// Every request carries the call id and, as fencing token, slot and epoch. An
// engine that checks fencing refuses an older epoch of the slot with 412.
// 429, 412 and a 503 with NotStartedHeader prove that a call did not start.
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

// Headers of a request to a target.
const (
	CallHeader         = "X-Call-Id"
	FencingTokenHeader = "X-Fencing-Token" // "<slot>:<epoch>"
	NotStartedHeader   = "X-Not-Started"
)

// maxAnswerBytes bounds an answer, maxLineBytes a line of its stream.
const (
	maxAnswerBytes = 256 << 10 // so that its record fits into an object of the platform
	maxStreamBytes = 8 << 20   // of an answer with its framing, and of a report
	maxLineBytes   = 1 << 20
)

// Completion is the body of a chat completion request.
type Completion struct {
	Messages  []api.Message `json:"messages"`
	MaxTokens int64         `json:"max_tokens"`
	Stream    bool          `json:"stream"`
	// Priority orders what waits inside the engine, higher first.
	Priority int64 `json:"priority"`
	// Program names the owner of the KV cache.
	Program string `json:"program"`
}

// CompletionChunk is the data of one event of the answer. The last one before
// [DONE] has Usage.
type CompletionChunk struct {
	ID      string            `json:"id"`
	Choices []CompletionDelta `json:"choices"`
	Usage   *CompletionUsage  `json:"usage,omitempty"`
}

// CompletionDelta is a piece of the answer.
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

// Load is an engine's report of its load, which lags.
type Load struct {
	Running int `json:"running"`
	Queued  int `json:"queued"`
}

// Cache lists the programs whose cache an engine keeps.
type Cache struct {
	Programs []string `json:"programs"`
}

// DoneMarker is the last data line of a stream.
const DoneMarker = "[DONE]"

// Client talks to targets.
type Client struct{ http *http.Client }

// New returns a client.
func New(h *http.Client) *Client { return &Client{http: h} }

// Call carries out one attempt. onChunk gets the text of an engine's answer as
// it comes. The context's end makes the outcome TargetBroken.
func (c *Client) Call(ctx context.Context, s *host.Send, onChunk func(string)) *host.TargetDone {
	done := &host.TargetDone{Call: s.Call, Target: s.Target.Name}
	req, err := request(s)
	if err != nil {
		done.Outcome, done.Detail = host.TargetInvalid, failure.From(err).Error()
		return done
	}
	req.Header.Set(CallHeader, s.Call.ID())
	req.Header.Set(FencingTokenHeader, FencingToken(s.Slot, s.Epoch))
	resp, err := c.http.Do(req.WithContext(ctx))
	if err != nil {
		done.Outcome, done.Detail = outcomeOf(err), err.Error()
		return done
	}
	defer func() { _ = resp.Body.Close() }() // what is left of a broken answer is of no use
	if resp.StatusCode != http.StatusOK {
		refusal(resp, done)
		return done
	}
	if s.Kind == decl.Engine {
		readCompletion(resp.Body, done, onChunk)
		return done
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err == nil && len(body) > maxAnswerBytes {
		err = failure.New(failure.TooLarge, "an answer has at most %d bytes", maxAnswerBytes)
	}
	if err != nil {
		done.Outcome, done.Detail = host.TargetBroken, err.Error()
		return done
	}
	done.Answer, done.Echo = body, resp.Header.Get(CallHeader)
	return done
}

// FencingToken is the fencing token of a slot's epoch.
func FencingToken(slot ident.Slot, epoch uint64) string { return slot.String() + ":" + api.Itoa(epoch) }

func request(s *host.Send) (*http.Request, error) {
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

// conversation is the program's history at this service and the new messages.
func conversation(s *host.Send) ([]api.Message, error) {
	var all []api.Message
	for _, t := range s.History {
		if t.Service != s.Target.Service {
			continue
		}
		if err := appendMessages(&all, t.Prompt); err != nil {
			return nil, err
		}
		all = append(all, api.Message{Role: "assistant", Content: string(t.Answer)})
	}
	return all, appendMessages(&all, s.Prompt)
}

func appendMessages(all *[]api.Message, raw []byte) error {
	var some []api.Message
	if err := json.Unmarshal(raw, &some); err != nil {
		return failure.Wrap(err, failure.BadRequest, "messages")
	}
	*all = append(*all, some...)
	return nil
}

// outcomeOf tells a request that surely did not reach the target from one that
// may have run.
func outcomeOf(err error) host.TargetOutcome {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return host.TargetRefused
	}
	return host.TargetBroken
}

func refusal(resp *http.Response, done *host.TargetDone) {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, 512)) // for the detail only
	done.Detail = resp.Status + " " + strings.TrimSpace(string(text))
	switch code := resp.StatusCode; {
	case code == http.StatusPreconditionFailed:
		done.Outcome = host.TargetFenced
	case code == http.StatusTooManyRequests, code == http.StatusServiceUnavailable && resp.Header.Get(NotStartedHeader) != "":
		done.Outcome = host.TargetRefused
	case code < http.StatusInternalServerError:
		done.Outcome = host.TargetInvalid
	default:
		done.Outcome = host.TargetBroken
	}
}

// readCompletion reads the event stream. An answer is whole only if its last
// chunk with the usage and the end mark came.
func readCompletion(r io.Reader, done *host.TargetDone, onChunk func(string)) {
	scan := bufio.NewScanner(io.LimitReader(r, maxStreamBytes))
	scan.Buffer(nil, maxLineBytes)
	var text strings.Builder
	whole := false
	for scan.Scan() {
		data, ok := strings.CutPrefix(scan.Text(), "data: ")
		if !ok {
			continue
		}
		if data == DoneMarker {
			if whole {
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
				done.Outcome, done.Detail = host.TargetBroken, "the answer is too large"
				return
			}
			if d.Delta.Content != "" {
				text.WriteString(d.Delta.Content)
				onChunk(d.Delta.Content)
			}
		}
		if u := chunk.Usage; u != nil {
			whole = true
			done.Usage = host.Usage{Prompt: u.PromptTokens, Output: u.CompletionTokens, Cached: u.CachedTokens}
		}
	}
	done.Outcome, done.Detail = host.TargetBroken, "the answer broke off"
}

// Release orders a target to drop a program's cache.
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
	// A plain service has no cache, and says 404 or 405.
	done.OK = resp.StatusCode < http.StatusMultipleChoices || resp.StatusCode == http.StatusNotFound || resp.StatusCode == http.StatusMethodNotAllowed
	return done
}

// Get reads a JSON report of a target into out.
func (c *Client) Get(ctx context.Context, t *decl.Target, path string, out any) error {
	req, err := sling.New().Base(strings.TrimSuffix(t.URL, "/") + "/").Get(path).Request()
	if err != nil {
		return failure.Wrap(err, failure.BadRequest, "request")
	}
	resp, err := c.http.Do(req.WithContext(ctx))
	if err != nil {
		return failure.Wrap(err, failure.TargetFailed, "report of %s", t.Name)
	}
	defer func() { _ = resp.Body.Close() }() // decoded, or of no use
	if resp.StatusCode != http.StatusOK {
		return failure.New(failure.TargetFailed, "report of %s: %s", t.Name, resp.Status)
	}
	return failure.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxStreamBytes)).Decode(out), failure.TargetFailed, "report of %s", t.Name)
}
