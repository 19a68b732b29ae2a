// Package httpclient makes HTTP clients that take only whole, well-formed answers of the host they have asked.
// net/http accepts more than RFC 9110 allows; see packages answerhead and orderlyend.
package httpclient

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/wire/answerhead"
	"github.com/pistachioarch/pistachioarch/wire/orderlyend"
)

// New returns a client that uses t, whose DialContext it replaces. A redirect is returned as the answer: another
// host would answer it.
func New(t *http.Transport) *http.Client {
	dial := t.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &orderlyend.Conn{Conn: c}, nil
	}
	return &http.Client{
		Transport:     transport{t},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// IsSuccess reports whether a status means that the request succeeded.
func IsSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// transport checks the heads of answers.
type transport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{Got1xxResponse: checkInformational}
	resp, err := t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := checkHead(resp); err != nil {
		_ = resp.Body.Close() // nothing of it is read
		return nil, err
	}
	return resp, nil
}

// checkInformational fails if an informational answer has a body: that would be read as the answer.
func checkInformational(status int, header textproto.MIMEHeader) error {
	if length := header.Get("Content-Length"); length != "" && length != "0" {
		return failure.Unknown(failure.BadAnswer, "a body of %s bytes with status %d, which has none", length, status)
	}
	return answerhead.CheckNames(header)
}

// checkHead fails if a head is none that a host can have sent as the answer.
func checkHead(resp *http.Response) error {
	if resp.StatusCode < http.StatusOK || resp.StatusCode > answerhead.MaxStatus {
		return failure.Unknown(failure.BadAnswer, "status %d", resp.StatusCode)
	}
	return answerhead.CheckNames(resp.Header)
}
