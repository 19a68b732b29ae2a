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

// initialReadBytes is the initial buffer size for a body of unknown length.
const initialReadBytes = 4 << 10

// limitUpload bounds how long the caller may send nothing of its body. This also holds if the
// request is refused and the body is only read to its end and discarded.
func (x *exchange) limitUpload() {
	if x.r.ContentLength == 0 {
		return
	}
	x.setReadDeadline(time.Now().Add(x.host.uploadIdleTimeout()))
}

// uploadIdleTimeout is how long a caller may send nothing of its body.
func (h *Host) uploadIdleTimeout() time.Duration {
	return cmp.Or(h.limits().HeaderTimeout, defaultHeaderTimeout)
}

// setReadDeadline sets the deadline for reads from the caller; a zero time removes it.
func (x *exchange) setReadDeadline(deadline time.Time) {
	if err := http.NewResponseController(x.w).SetReadDeadline(deadline); err != nil {
		x.host.Log.Debug("read deadline not set", "request", x.call.ID, "error", err.Error())
	}
}

// readBody reads the request's body. Memory for it is reserved before it is read.
func (x *exchange) readBody() error {
	contentLength := x.r.ContentLength
	if contentLength == 0 {
		return nil
	}
	limit := cmp.Or(x.table.Limits.BodyBytes, defaultBodyBytes)
	if contentLength > limit {
		return x.closeAfterAnswer(failure.New(failure.TooLarge, "request body exceeds %d bytes", limit))
	}
	size := int64(initialReadBytes)
	if contentLength > 0 {
		// One more byte, so that the end is read without growing the buffer.
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

// growBody grows the buffer of the body to size bytes.
func (x *exchange) growBody(size int64) error {
	if err := x.held.reserve(x.r.Context(), held.Body, size-int64(cap(x.body)), maxRequestMemoryWait); err != nil {
		return err
	}
	x.body = append(make([]byte, 0, size), x.body...)
	return nil
}

// readBodyChunk appends to the body what the caller has sent.
func (x *exchange) readBodyChunk(source io.Reader) error {
	deadline := time.Now().Add(x.host.uploadIdleTimeout())
	if x.deadline.Before(deadline) {
		deadline = x.deadline
	}
	x.setReadDeadline(deadline)
	x.held.startCallerWait()
	n, err := source.Read(x.body[len(x.body):cap(x.body)])
	x.held.stopCallerWait()
	x.body = x.body[:len(x.body)+n]
	return err
}

// uploadFailure returns the failure of a request whose body could not be read.
func (x *exchange) uploadFailure(err error, limit int64) error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return failure.New(failure.TooLarge, "request body exceeds %d bytes", limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.uploadTimedOut = true
		x.host.Meter.Count("callers_ended", "unsent")
		x.host.Log.Warn("caller ended because it did not send its body", "request", x.call.ID, "held_bytes", cap(x.body),
			"read_bytes", len(x.body), "after_ms", time.Since(x.startedAt).Milliseconds())
		return x.closeAfterAnswer(failure.Retry(failure.Timeout, defaultRetryDelay, "request body timed out after %d bytes", len(x.body)))
	case x.r.Context().Err() != nil:
		return failure.Wrap(err, failure.CallerGone, "read request body")
	default:
		return failure.Wrap(err, failure.BadRequest, "read request body")
	}
}

// closeAfterAnswer makes the connection close after the answer to a request whose body was not
// read. It returns err.
func (x *exchange) closeAfterAnswer(err error) error {
	x.w.Header().Set("Connection", "close")
	return err
}

// maxPlainAnswerBytes bounds the body of an answer that is not a stream. It is held in memory
// until it is complete, so that a truncated answer is not sent to the caller.
const maxPlainAnswerBytes = 8 << 20

// bodyChunks is the body of an answer in the chunks in which it was read. One buffer that grows
// would be held twice while it is copied.
type bodyChunks struct {
	chunks [][]byte
	size   int64
}

// readAnswer reads the body of a plain answer. If there is no memory for it, it stops reading from
// the target until there is, up to maxAnswerMemoryWait. A length that the target gives is reserved
// as a whole: several answers that are each read in part could otherwise use up the memory, so that
// none is ever complete.
func (x *exchange) readAnswer(ctx context.Context, resp *targetpool.Response) (*bodyChunks, error) {
	body := &bodyChunks{}
	size, err := strconv.ParseInt(resp.Header.Get("Content-Length"), 10, 64)
	if err != nil {
		size = initialReadBytes
	}
	// At least one byte, as the end has to be read too.
	for size = max(size, 1); body.size+size <= maxPlainAnswerBytes+readChunkBytes; size = readChunkBytes {
		if err := x.held.reserve(ctx, held.Answer, size, maxAnswerMemoryWait); err != nil {
			return nil, err
		}
		if err := body.read(resp.Body, size); err != nil {
			return body, ignoreEOF(err)
		}
	}
	return nil, failure.New(failure.TooLarge, "answer exceeds %d bytes", maxPlainAnswerBytes)
}

// ignoreEOF returns err, or nil if it is io.EOF.
func ignoreEOF(err error) error {
	if err == io.EOF {
		return nil
	}
	return err
}

// read appends up to size bytes. It returns the error of source unchanged, so that a truncated
// answer can be distinguished from a complete one.
func (b *bodyChunks) read(source io.Reader, size int64) error {
	for size > 0 {
		chunk := make([]byte, min(size, readChunkBytes))
		n, err := readFull(source, chunk)
		b.chunks = append(b.chunks, chunk[:n])
		b.size += int64(n)
		size -= int64(n)
		if err != nil {
			return err
		}
	}
	return nil
}

// readFull reads until p is full or source returns an error. Unlike io.ReadFull it returns that
// error unchanged.
func readFull(source io.Reader, p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		var read int
		read, err = source.Read(p[n:])
		n += read
	}
	return n, err
}

// writeAnswer writes an answer to the caller and releases the memory of each chunk written.
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

// reserveFunc returns a function that reserves n more bytes of a kind for an answer, or returns
// errNoMemory.
func (x *exchange) reserveFunc(ctx context.Context, kind held.Kind) func(n int64) error {
	return func(n int64) error {
		if x.held.reserve(ctx, kind, n, maxAnswerMemoryWait) != nil {
			return errNoMemory
		}
		return nil
	}
}
