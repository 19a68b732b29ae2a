package entry

import (
	"bytes"
	"io"
	"strconv"
)

const (
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
	// eventChunkBytes is how much of a stream is read at once.
	eventChunkBytes = 2 << 10
	// initialEventBytes is the room for events that are read together in a new buffer.
	initialEventBytes = 2 << 10
)

// event is one whole event of a stream.
type event struct {
	// raw is the event as received, with the blank line that ends it.
	raw []byte
	// id and data are the values of its fields; data lines are joined by line feeds.
	id   string
	data []byte
}

// follows reports whether the event may come after the event with the ID last in one stream: IDs are
// numbers that increase. An empty last stands for the start of a stream.
func (e event) follows(last string) bool {
	id, err := strconv.ParseInt(e.id, 10, 64)
	if err != nil {
		return false
	}
	lastID, err := strconv.ParseInt(last, 10, 64)
	return err != nil || id > lastID
}

// eventReader splits a stream of server-sent events into events.
type eventReader struct {
	source io.Reader
	buf    []byte
	// searched is the length of the part of buf that holds no end of an event.
	searched int
	err      error
	// reserve reserves memory for the buffer beyond the reserved bytes; nil reserves nothing.
	reserve  func(n int64) error
	reserved int64
}

// growBuffer makes room for n more bytes. Memory for a larger buffer is reserved before it is allocated.
func (r *eventReader) growBuffer(n int) error {
	if len(r.buf)+n <= cap(r.buf) {
		return nil
	}
	// The part before buf holds events that were returned and are not needed any more.
	size := max(2*len(r.buf), initialEventBytes) + n
	if missing := int64(size) - r.reserved; r.reserve != nil && missing > 0 {
		if err := r.reserve(missing); err != nil {
			return err
		}
		r.reserved += missing
	}
	r.buf = append(make([]byte, 0, size), r.buf...)
	return nil
}

// takeEvent removes the first whole event from the buffer and returns it, nil if there is none.
func (r *eventReader) takeEvent() []byte {
	// The last byte that was searched may be the first line feed of the event's end.
	start := max(0, r.searched-1)
	end := bytes.Index(r.buf[start:], []byte("\n\n"))
	if end < 0 {
		r.searched = len(r.buf)
		return nil
	}
	end += start + 2
	raw := r.buf[:end]
	r.buf, r.searched = r.buf[end:], 0
	return raw
}

// next returns the next whole event. At the end of the stream it returns io.EOF, or
// io.ErrUnexpectedEOF if the stream ended inside an event; for an event of more than
// maxEventBytes it returns io.ErrShortBuffer.
func (r *eventReader) next() (event, error) {
	for {
		if raw := r.takeEvent(); raw != nil {
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
		if err := r.growBuffer(eventChunkBytes); err != nil {
			return event{}, err
		}
		end := len(r.buf)
		n, err := r.source.Read(r.buf[end : end+eventChunkBytes])
		r.buf = r.buf[:end+n]
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
			if firstData {
				e.data = value[:len(value):len(value)] // the data of one line is not copied
				firstData = false
				continue
			}
			e.data = append(append(e.data, '\n'), value...)
		}
	}
	return e
}
