// Package ownheaders defines pistachioarch's own set of HTTP headers for requests of
// programs. It is used where no platform defines another set: with the stand-ins, and
// in tests. Times are in milliseconds, except in RetryAfter.
package ownheaders

import (
	"net/http"
	"strconv"
	"time"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/request"
)

// The header names.
const (
	ID         = "Pistachio-Request"
	Program    = "Pistachio-Program"
	Previous   = "Pistachio-Previous-Turn"
	Budget     = "Pistachio-Budget"
	MaxTokens  = "Pistachio-Max-Tokens"
	Prompt     = "Pistachio-Prompt-Tokens"
	Timeout    = "Pistachio-Left"
	LastEvent  = "Last-Event-Id"
	Resumes    = "Pistachio-Resumes"
	Target     = "Pistachio-Target"
	NotRun     = "Pistachio-Not-Run"
	Signature  = "Pistachio-Signature"
	RetryAfter = "Retry-After"
	Key        = "Pistachio-Key"
	Customer   = "Pistachio-Customer"
)

// Headers translates between the headers and the types of package request.
type Headers struct{}

// Call decodes the headers of a caller's request. The failure is of kind BadRequest.
func (Headers) Call(h http.Header) (request.Call, error) {
	c := request.Call{ID: h.Get(ID), Program: h.Get(Program), PreviousTurn: h.Get(Previous), LastEventID: h.Get(LastEvent), Resumes: h.Get(Resumes), CustomerKey: h.Get(Key)}
	if c.ID == "" {
		return c, failure.New(failure.BadRequest, "header %s is missing", ID)
	}
	timeoutMS := int64(0)
	for name, to := range map[string]*int64{Timeout: &timeoutMS, Budget: &c.TokenBudget, MaxTokens: &c.MaxTokens, Prompt: &c.PromptTokens} {
		v := h.Get(name)
		if v == "" {
			continue
		}
		n, err := strconv.ParseInt(v, 10, 64)
		if err != nil || n < 0 {
			return c, failure.New(failure.BadRequest, "header %s has the invalid value %q", name, v)
		}
		*to = n
	}
	c.Timeout = time.Duration(timeoutMS) * time.Millisecond
	return c, nil
}

// Outgoing returns the headers of a request to a target.
func (Headers) Outgoing(in http.Header, s request.SendOptions) http.Header {
	out := in.Clone()
	out.Set(Target, s.Instance)
	out.Set(Timeout, strconv.FormatInt(s.Timeout.Milliseconds(), 10))
	if s.LastEventID != "" {
		out.Set(LastEvent, s.LastEventID)
	}
	if s.HideKey {
		out.Del(Key)
	}
	out.Del(Customer)
	if s.Customer != "" {
		out.Set(Customer, s.Customer)
	}
	return out
}

// Answer decodes the status and headers of a target's answer.
func (Headers) Answer(status int, h http.Header) request.Answer {
	return request.Answer{
		ID: h.Get(ID), Signed: h.Get(Signature) != "", Encoded: request.HasValue(h.Values("Content-Encoding")), NotRun: h.Get(NotRun) != "",
		Contradictory: request.Differ(h.Values(ID)) || request.Differ(h.Values(Signature)),
		Misdirected:   status == http.StatusMisdirectedRequest,
	}
}

// RetryAfter sets the delay after which the caller may retry, in seconds with three decimals.
func (Headers) RetryAfter(h http.Header, d time.Duration) {
	h.Set(RetryAfter, strconv.FormatFloat(d.Seconds(), 'f', 3, 64))
}

// Echo sets the ID of the request in an answer that the system itself gives.
func (Headers) Echo(h http.Header, id string) {
	if id != "" {
		h.Set(ID, id)
	}
}
