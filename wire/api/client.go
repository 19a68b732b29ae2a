package api

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/dghubble/sling"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/wire/httpclient"
)

// maxEventBytes bounds the length of one line of an event stream.
const maxEventBytes = 8 << 20

// Client calls the HTTP interface of a host. Its errors are Failures; their field Ran says
// whether the request may have been executed.
type Client struct {
	base *sling.Sling
	http *http.Client
}

// NewClient returns a client of the host at base (http://address) that authenticates with
// the bearer token.
func NewClient(h *http.Client, base, token string) *Client {
	s := sling.New().Base(strings.TrimSuffix(base, "/")+"/").Set("Authorization", "Bearer "+token)
	return &Client{base: s, http: h}
}

// Create creates a program.
func (c *Client) Create(ctx context.Context, p CreateProgram) (Program, error) {
	var out Program
	return out, c.do(ctx, c.base.New().Post("v1/programs").BodyJSON(p), &out)
}

// Call makes one call and waits for its answer.
func (c *Client) Call(ctx context.Context, program string, call Call) (Answer, error) {
	var out Answer
	return out, c.do(ctx, c.base.New().Post("v1/programs/"+url.PathEscape(program)+"/calls").BodyJSON(call), &out)
}

// Fetch returns the answer to a call made earlier.
func (c *Client) Fetch(ctx context.Context, program string, sequence uint32) (Answer, error) {
	var out Answer
	path := "v1/programs/" + url.PathEscape(program) + "/calls/" + Itoa(sequence)
	return out, c.do(ctx, c.base.New().Get(path), &out)
}

// End ends a program.
func (c *Client) End(ctx context.Context, program string) error {
	return c.do(ctx, c.base.New().Delete("v1/programs/"+url.PathEscape(program)), nil)
}

// Operate calls an operator endpoint with POST, or with GET for any other method, and
// decodes the JSON response into out.
func (c *Client) Operate(ctx context.Context, method, path string, out any) error {
	s := c.base.New().Get(path)
	if method == http.MethodPost {
		s = c.base.New().Post(path)
	}
	return c.do(ctx, s, out)
}

func (c *Client) do(ctx context.Context, s *sling.Sling, out any) error {
	resp, err := c.send(ctx, s)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }() // the body was read to its end or is not needed
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return transportError(err)
	}
	if !httpclient.IsSuccess(resp.StatusCode) {
		return decodeError(resp.StatusCode, body)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return transportError(err)
	}
	return nil
}

func (c *Client) send(ctx context.Context, s *sling.Sling) (*http.Response, error) {
	req, err := s.Request()
	if err != nil {
		return nil, failure.Wrap(err, failure.BadRequest, "request")
	}
	resp, err := c.http.Do(req.WithContext(ctx))
	if err != nil {
		return nil, transportError(err)
	}
	return resp, nil
}

// Stream makes one call with a streamed answer. It passes each event before the final one to
// onEvent and returns the content of the final one.
func (c *Client) Stream(ctx context.Context, program string, call Call, onEvent func(event, data string)) (Answer, error) {
	call.Stream = true
	resp, err := c.send(ctx, c.base.New().Post("v1/programs/"+url.PathEscape(program)+"/calls").BodyJSON(call))
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = resp.Body.Close() }() // the final event was read or the stream is broken
	if !httpclient.IsSuccess(resp.StatusCode) {
		body, _ := io.ReadAll(resp.Body) // if the body is truncated, the status is still reported
		return Answer{}, decodeError(resp.StatusCode, body)
	}
	return readEvents(resp.Body, onEvent)
}

func readEvents(r io.Reader, onEvent func(event, data string)) (Answer, error) {
	scan := bufio.NewScanner(r)
	scan.Buffer(nil, maxEventBytes)
	event := ""
	for scan.Scan() {
		line := scan.Text()
		if name, ok := strings.CutPrefix(line, "event: "); ok {
			event = name
			continue
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		switch event {
		case EventAnswer:
			var a Answer
			if err := json.Unmarshal([]byte(data), &a); err != nil {
				return a, transportError(err)
			}
			return a, nil
		case EventError:
			return Answer{}, decodeError(0, []byte(data))
		}
		onEvent(event, data)
	}
	return Answer{}, failure.Unknown(failure.PeerUnavailable, "event stream ended without a final event")
}

func transportError(err error) error {
	f := failure.Unknown(failure.PeerUnavailable, "%v", err)
	if strings.Contains(err.Error(), "connection refused") {
		f.Ran = failure.RanNo
	}
	return f
}

func decodeError(status int, body []byte) error {
	var e Error
	if json.Unmarshal(body, &e) != nil || e.Type == "" {
		return failure.Unknown(failure.Internal, "invalid error body (HTTP status %d)", status)
	}
	return e.Failure()
}
