package entry

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/held"
	"github.com/pistachioarch/pistachioarch/wire/targetpool"
)

// firstBytes is the room for a body of unknown length, to begin with.
const initialReadBytes = 4 << 10

// boundUpload bounds how long the caller may send nothing of its body, also where the
// request is refused and the body is only read to reach the end of it.
func (x *exchange) limitUpload() {
	if x.r.ContentLength == 0 {
		return
	}
	x.setReadDeadline(time.Now().Add(x.host.uploadIdleTimeout()))
}

// uploadPause is how long a caller may send nothing.
func (h *Host) uploadIdleTimeout() time.Duration {
	return cmp.Or(h.limits().HeaderTimeout, defaultHeaderTimeout)
}

// readBefore bounds reads of the caller; a zero time ends the bound.
func (x *exchange) setReadDeadline(deadline time.Time) {
	if err := http.NewResponseController(x.w).SetReadDeadline(deadline); err != nil {
		x.host.Log.Debug("no time limit for the caller", "request", x.call.ID, "error", err.Error())
	}
}

// readBody reads the request's body. What it holds is charged before it is read.
func (x *exchange) readBody() error {
	contentLength := x.r.ContentLength
	if contentLength == 0 {
		return nil
	}
	limit := cmp.Or(x.table.Limits.BodyBytes, defaultBodyBytes)
	if contentLength > limit {
		return x.closeAfterAnswer(failure.New(failure.TooLarge, "body over %d bytes", limit))
	}
	size := int64(initialReadBytes)
	if contentLength > 0 {
		// One byte more, so that the end is seen without growing.
		size = contentLength + 1
	}
	if err := x.growBody(size); err != nil {
		return x.closeAfterAnswer(err)
	}
	source := http.MaxBytesReader(x.w, x.r.Body, limit)
	for {
		if len(x.body) == cap(x.body) {
			if err := x.growBody(int64(2 * cap(x.body))); err != nil {
				return x.closeAfterAnswer(err)
			}
		}
		err := x.readBodyChunk(source)
		if err == io.EOF {
			x.setReadDeadline(time.Time{})
			return nil
		}
		if err != nil {
			return x.uploadFailure(err, limit)
		}
	}
}

// growBody makes the room for the body size bytes large.
func (x *exchange) growBody(size int64) error {
	if err := x.held.grow(x.r.Context(), held.Body, size-int64(cap(x.body)), requestWait); err != nil {
		return err
	}
	x.body = append(make([]byte, 0, size), x.body...)
	return nil
}

// readSome appends to the body what the caller has sent.
func (x *exchange) readBodyChunk(source io.Reader) error {
	deadline := time.Now().Add(x.host.uploadIdleTimeout())
	if x.deadline.Before(deadline) {
		deadline = x.deadline
	}
	x.setReadDeadline(deadline)
	x.held.await()
	n, err := source.Read(x.body[len(x.body):cap(x.body)])
	x.held.arrived()
	x.body = x.body[:len(x.body)+n]
	return err
}

// uploadFailed tells why a body could not be read.
func (x *exchange) uploadFailure(err error, limit int64) error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return failure.New(failure.TooLarge, "body over %d bytes", limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.uploadTimedOut = true
		x.host.Meter.Count("callers_ended", "unsent")
		x.host.Log.Warn("caller ended because it did not send its body", "request", x.call.ID, "held_bytes", cap(x.body),
			"read_bytes", len(x.body), "after_ms", time.Since(x.startedAt).Milliseconds())
		return x.closeAfterAnswer(failure.Retry(failure.Timeout, defaultRetryDelay, "%d bytes of the body came", len(x.body)))
	case x.r.Context().Err() != nil:
		return failure.Wrap(err, failure.CallerGone, "body")
	default:
		return failure.Wrap(err, failure.BadRequest, "body")
	}
}

// unread has the connection closed after an answer to a request whose body was not read.
func (x *exchange) closeAfterAnswer(err error) error {
	x.w.Header().Set("Connection", "close")
	return err
}

// maxPlainBytes bounds an answer that is not a stream; it is held in memory until
// it is whole, so that a broken one can be told from a complete one.
const maxPlainAnswerBytes = 8 << 20

// pieces is a whole answer in the pieces in which it was read: one that grew would be held
// twice while it grows.
type bodyChunks struct {
	chunks [][]byte
	size   int64
}

// readAnswer reads a plain answer whole. Where there is no room it leaves the answer with
// the target until there is some, up to answerWait. An announced length is charged at once:
// answers that are read by turns, none to its end, would fill the room for good.
func (x *exchange) readAnswer(ctx context.Context, resp *targetpool.Response) (*bodyChunks, error) {
	body := &bodyChunks{}
	size, err := strconv.ParseInt(resp.Header.Get("Content-Length"), 10, 64)
	if err != nil {
		size = initialReadBytes
	}
	// At least one byte: the end has to be read too.
	for size = max(size, 1); body.size+size <= maxPlainAnswerBytes+chunkBytes; size = chunkBytes {
		if err := x.held.grow(ctx, held.Answer, size, answerWait); err != nil {
			return nil, err
		}
		if err := body.read(resp.Body, size); err != nil {
			return body, ignoreEOF(err)
		}
	}
	return nil, failure.New(failure.TooLarge, "answer over %d bytes", maxPlainAnswerBytes)
}

// atEnd is no error where the answer ended.
func ignoreEOF(err error) error {
	if err == io.EOF {
		return nil
	}
	return err
}

// read appends up to room bytes. It returns the reader's own error: that of a cut answer is
// not that of a whole one.
func (p *bodyChunks) read(source io.Reader, size int64) error {
	for size > 0 {
		chunk := make([]byte, min(size, chunkBytes))
		n, err := readFull(source, chunk)
		p.chunks = append(p.chunks, chunk[:n])
		p.size += int64(n)
		size -= int64(n)
		if err != nil {
			return err
		}
	}
	return nil
}

// fill reads until p is full or the reader ends.
func readFull(source io.Reader, p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		var read int
		read, err = source.Read(p[n:])
		n += read
	}
	return n, err
}

// writeAnswer hands an answer to the caller and releases what the caller has taken.
func (x *exchange) writeAnswer(body *bodyChunks) error {
	for i, chunk := range body.chunks {
		if _, err := x.w.Write(chunk); err != nil {
			return err
		}
		body.chunks[i] = nil
		x.held.release(held.Answer, int64(cap(chunk)))
	}
	return nil
}

// roomFor charges bytes of a kind that come with an answer.
func (x *exchange) reserveFunc(ctx context.Context, kind held.Kind) func(n int64) error {
	return func(n int64) error {
		if x.held.grow(ctx, kind, n, answerWait) != nil {
			return errNoMemory
		}
		return nil
	}
}
