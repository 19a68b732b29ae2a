// Package platform implements the client for the platform's object API.
//
// The protocol (HTTP/JSON):
//
//	GET    /v1/objects/KEY                    body, ETag: "version"; 404
//	PUT    /v1/objects/KEY  If-Match: "v" or If-None-Match: *   ETag; 412
//	DELETE /v1/objects/KEY
//	GET    /v1/list?prefix=P&bodies=1         List
//	GET    /v1/watch?prefix=P&since=R         List, after a change or a timeout
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/dghubble/sling"

	"github.com/pistachioarch/pistachioarch/core/host"
)

// MaxObjectBytes bounds the size of an object.
const MaxObjectBytes = 1 << 20

// Object is an element of a List. Body is base64 in JSON.
type Object struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Body    []byte `json:"body,omitempty"`
}

// List is the response to a list or a watch. The next watch starts from Revision.
type List struct {
	Revision uint64   `json:"revision"`
	Objects  []Object `json:"objects"`
}

// Client executes the platform operations of package host.
type Client struct {
	base *sling.Sling
	http *http.Client
	// Timeout bounds an operation other than a watch, WatchTimeout a watch.
	Timeout, WatchTimeout time.Duration
}

// New returns a client of the platform at base (http://address) that authenticates with the
// bearer token unless that is empty.
func New(h *http.Client, base, token string) *Client {
	s := sling.New().Base(strings.TrimSuffix(base, "/") + "/")
	if token != "" {
		s = s.Set("Authorization", "Bearer "+token)
	}
	return &Client{base: s, http: h, Timeout: 2500 * time.Millisecond, WatchTimeout: 35 * time.Second}
}

type listQuery struct {
	Prefix string `url:"prefix"`
	Bodies int    `url:"bodies,omitempty"`
	Since  uint64 `url:"since,omitempty"`
}

// Do executes one operation. It always returns a reply; the status is OpLost if the outcome
// of the operation is unknown.
func (c *Client) Do(ctx context.Context, op host.PlatformOp) *host.PlatformReply {
	timeout := c.Timeout
	if op.Kind == host.OpWatch {
		timeout = c.WatchTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply := &host.PlatformReply{ID: op.ID}
	req, err := c.newRequest(op)
	if err != nil {
		reply.Status = host.OpUnavailable
		return reply
	}
	resp, err := c.http.Do(req.WithContext(ctx))
	if err != nil {
		reply.Status = statusOfError(err)
		return reply
	}
	defer func() { _ = resp.Body.Close() }() // the body is read to its end below
	body, err := io.ReadAll(io.LimitReader(resp.Body, 64<<20))
	if err != nil {
		reply.Status = host.OpLost
		return reply
	}
	decode(op.Kind, resp, body, reply)
	return reply
}

func (c *Client) newRequest(op host.PlatformOp) (*http.Request, error) {
	path := "v1/objects/" + op.Key
	switch op.Kind {
	case host.OpGet:
		return c.base.New().Get(path).Request()
	case host.OpPut:
		s := c.base.New().Put(path).Body(bytes.NewReader(op.Body))
		if op.IfVersion == 0 {
			return s.Set("If-None-Match", "*").Request()
		}
		return s.Set("If-Match", quote(op.IfVersion)).Request()
	case host.OpDelete:
		return c.base.New().Delete(path).Request()
	case host.OpWatch:
		return c.base.New().Get("v1/watch").QueryStruct(listQuery{Prefix: op.Key, Bodies: 1, Since: op.IfVersion}).Request()
	}
	q := listQuery{Prefix: op.Key}
	if op.Kind == host.OpList {
		q.Bodies = 1
	}
	return c.base.New().Get("v1/list").QueryStruct(q).Request()
}

// statusOfError returns OpUnavailable for an operation that cannot have reached the platform,
// and OpLost for one that may have.
func statusOfError(err error) host.OpStatus {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return host.OpUnavailable
	}
	return host.OpLost
}

func decode(kind host.OpKind, resp *http.Response, body []byte, reply *host.PlatformReply) {
	switch resp.StatusCode {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
	case http.StatusNotFound:
		reply.Status = host.OpNotFound
		return
	case http.StatusPreconditionFailed:
		reply.Status = host.OpConflict
		return
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		reply.Status = host.OpUnavailable
		return
	default:
		reply.Status = host.OpLost
		return
	}
	if kind == host.OpGet || kind == host.OpPut {
		v, err := strconv.ParseUint(strings.Trim(resp.Header.Get("ETag"), `"`), 10, 64)
		if err != nil {
			reply.Status = host.OpLost
			return
		}
		reply.Version, reply.Body = v, body
		return
	}
	if kind == host.OpDelete {
		return
	}
	var list List
	if json.Unmarshal(body, &list) != nil {
		reply.Status = host.OpLost
		return
	}
	reply.Revision = list.Revision
	for _, o := range list.Objects {
		reply.Objects = append(reply.Objects, host.Object{Key: o.Key, Version: o.Version, Body: o.Body})
	}
}

func quote(v uint64) string { return `"` + strconv.FormatUint(v, 10) + `"` }
