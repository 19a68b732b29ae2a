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
const firstBytes = 4 << 10

// boundUpload bounds how long the caller may send nothing of its body, also where the
// request is refused and the body is only read to reach the end of it.
func (x *exchange) boundUpload() {
	if x.r.ContentLength == 0 {
		return
	}
	x.readBefore(time.Now().Add(x.host.uploadPause()))
}

// uploadPause is how long a caller may send nothing.
func (h *Host) uploadPause() time.Duration {
	return cmp.Or(h.limits().HeaderTimeout, defaultHeaderTimeout)
}

// readBefore bounds reads of the caller; a zero time ends the bound.
func (x *exchange) readBefore(t time.Time) {
	if err := http.NewResponseController(x.w).SetReadDeadline(t); err != nil {
		x.host.Log.Debug("no time limit for the caller", "request", x.call.ID, "error", err.Error())
	}
}

// readBody reads the request's body. What it holds is charged before it is read.
func (x *exchange) readBody() error {
	announced := x.r.ContentLength
	if announced == 0 {
		return nil
	}
	limit := cmp.Or(x.table.Limits.BodyBytes, defaultBodyBytes)
	if announced > limit {
		return x.unread(failure.New(failure.TooLarge, "body over %d bytes", limit))
	}
	size := int64(firstBytes)
	if announced > 0 {
		// One byte more, so that the end is seen without growing.
		size = announced + 1
	}
	if err := x.growBody(size); err != nil {
		return x.unread(err)
	}
	from := http.MaxBytesReader(x.w, x.r.Body, limit)
	for {
		if len(x.body) == cap(x.body) {
			if err := x.growBody(int64(2 * cap(x.body))); err != nil {
				return x.unread(err)
			}
		}
		err := x.readSome(from)
		if err == io.EOF {
			x.readBefore(time.Time{})
			return nil
		}
		if err != nil {
			return x.uploadFailed(err, limit)
		}
	}
}

// growBody makes the room for the body size bytes large.
func (x *exchange) growBody(size int64) error {
	if err := x.held.reserve(x.r.Context(), held.Body, size-int64(cap(x.body)), maxRequestMemoryWait); err != nil {
		return err
	}
	x.body = append(make([]byte, 0, size), x.body...)
	return nil
}

// readSome appends to the body what the caller has sent.
func (x *exchange) readSome(from io.Reader) error {
	limit := time.Now().Add(x.host.uploadPause())
	if x.deadline.Before(limit) {
		limit = x.deadline
	}
	x.readBefore(limit)
	x.held.startCallerWait()
	n, err := from.Read(x.body[len(x.body):cap(x.body)])
	x.held.stopCallerWait()
	x.body = x.body[:len(x.body)+n]
	return err
}

// uploadFailed tells why a body could not be read.
func (x *exchange) uploadFailed(err error, limit int64) error {
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return failure.New(failure.TooLarge, "body over %d bytes", limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.late = true
		x.host.Meter.Count("callers_ended", "unsent")
		x.host.Log.Warn("caller ended because it did not send its body", "request", x.call.ID, "held_bytes", cap(x.body),
			"read_bytes", len(x.body), "after_ms", time.Since(x.began).Milliseconds())
		return x.unread(failure.Retry(failure.Timeout, retryLater, "%d bytes of the body came", len(x.body)))
	case x.r.Context().Err() != nil:
		return failure.Wrap(err, failure.CallerGone, "body")
	default:
		return failure.Wrap(err, failure.BadRequest, "body")
	}
}

// unread has the connection closed after an answer to a request whose body was not read.
func (x *exchange) unread(err error) error {
	x.w.Header().Set("Connection", "close")
	return err
}

// maxPlainBytes bounds an answer that is not a stream; it is held in memory until
// it is whole, so that a broken one can be told from a complete one.
const maxPlainBytes = 8 << 20

// pieces is a whole answer in the pieces in which it was read: one that grew would be held
// twice while it grows.
type pieces struct {
	list [][]byte
	size int64
}

// readAnswer reads a plain answer whole. Where there is no room it leaves the answer with
// the target until there is some, up to answerWait. An announced length is charged at once:
// answers that are read by turns, none to its end, would fill the room for good.
func (x *exchange) readAnswer(ctx context.Context, resp *targetpool.Response) (*pieces, error) {
	body := &pieces{}
	room, err := strconv.ParseInt(resp.Header.Get("Content-Length"), 10, 64)
	if err != nil {
		room = firstBytes
	}
	// At least one byte: the end has to be read too.
	for room = max(room, 1); body.size+room <= maxPlainBytes+readChunkBytes; room = readChunkBytes {
		if err := x.held.reserve(ctx, held.Answer, room, maxAnswerMemoryWait); err != nil {
			return nil, err
		}
		if err := body.read(resp.Body, room); err != nil {
			return body, atEnd(err)
		}
	}
	return nil, failure.New(failure.TooLarge, "answer over %d bytes", maxPlainBytes)
}

// atEnd is no error where the answer ended.
func atEnd(err error) error {
	if err == io.EOF {
		return nil
	}
	return err
}

// read appends up to room bytes. It returns the reader's own error: that of a cut answer is
// not that of a whole one.
func (p *pieces) read(from io.Reader, room int64) error {
	for room > 0 {
		piece := make([]byte, min(room, readChunkBytes))
		n, err := fill(from, piece)
		p.list = append(p.list, piece[:n])
		p.size += int64(n)
		room -= int64(n)
		if err != nil {
			return err
		}
	}
	return nil
}

// fill reads until p is full or the reader ends.
func fill(from io.Reader, p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		var more int
		more, err = from.Read(p[n:])
		n += more
	}
	return n, err
}

// writeAnswer hands an answer to the caller and releases what the caller has taken.
func (x *exchange) writeAnswer(body *pieces) error {
	for i, piece := range body.list {
		if _, err := x.w.Write(piece); err != nil {
			return err
		}
		body.list[i] = nil
		x.held.release(held.Answer, int64(cap(piece)))
	}
	return nil
}

// roomFor charges bytes of a kind that come with an answer.
func (x *exchange) roomFor(ctx context.Context, k held.Kind) func(n int64) error {
	return func(n int64) error {
		if x.held.reserve(ctx, k, n, maxAnswerMemoryWait) != nil {
			return errNoRoom
		}
		return nil
	}
}
