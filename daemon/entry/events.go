package entry

import (
	"bytes"
	"io"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// event is one whole event of a stream.
type event struct {
	// raw is the event as received, with the blank line that ends it.
	raw []byte
	// id and data are the values of its fields; data lines are joined by line feeds.
	id   string
	data []byte
}

// eventReader splits a stream of server-sent events into events.
type eventReader struct {
	source io.Reader
	buf    []byte
	err    error
	// reserve reserves memory for an unfinished event beyond the reserved bytes; nil reserves
	// nothing.
	reserve  func(n int64) error
	reserved int64
}

// reserveChunk reserves memory for one more chunk.
func (r *eventReader) reserveChunk(chunkSize int) error {
	size := int64(len(r.buf)+chunkSize) - r.reserved
	if r.reserve == nil || size <= 0 {
		return nil
	}
	if err := r.reserve(size); err != nil {
		return err
	}
	r.reserved += size
	return nil
}

// next returns the next whole event. At the end of the stream it returns io.EOF, or
// io.ErrUnexpectedEOF if the stream ended inside an event; for an event of more than
// maxEventBytes it returns io.ErrShortBuffer.
func (r *eventReader) next() (event, error) {
	for {
		if end := bytes.Index(r.buf, []byte("\n\n")); end >= 0 {
			raw := r.buf[:end+2]
			r.buf = r.buf[end+2:]
			return parseEvent(raw), nil
		}
		if r.err != nil {
			if r.err == io.EOF && len(bytes.TrimSpace(r.buf)) > 0 {
				return event{}, io.ErrUnexpectedEOF
			}
			return event{}, r.err
		}
		if len(r.buf) > maxEventBytes {
			return event{}, io.ErrShortBuffer
		}
		var chunk [2048]byte
		if err := r.reserveChunk(len(chunk)); err != nil {
			return event{}, err
		}
		n, err := r.source.Read(chunk[:])
		r.buf = append(r.buf, chunk[:n]...)
		r.err = err
	}
}

// parseEvent reads the fields of an event; raw ends with a blank line.
func parseEvent(raw []byte) event {
	e := event{raw: raw}
	firstData := true
	for line := range bytes.SplitSeq(bytes.TrimRight(raw, "\n"), []byte("\n")) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "id":
			e.id = string(value)
		case "data":
			if !firstData {
				e.data = append(e.data, '\n')
			}
			e.data = append(e.data, value...)
			firstData = false
		}
	}
	return e
}
