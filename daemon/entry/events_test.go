package entry

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

// readEvents reads events up to the first error and returns both.
func readEvents(source io.Reader) (list []event, err error) {
	r := &eventReader{source: source}
	for {
		e, err := r.next()
		if err != nil {
			return list, err
		}
		list = append(list, e)
	}
}

func TestEventsAreSplitRegardlessOfReadSizes(t *testing.T) {
	text := "id: 1\ndata: a\n\nx-weights: 4\nid: 2\ndata: b\ndata:c\n\n"
	for name, source := range map[string]io.Reader{
		"one read":       bytes.NewBufferString(text),
		"one-byte reads": iotest.OneByteReader(bytes.NewBufferString(text)),
	} {
		t.Run(name, func(t *testing.T) {
			list, err := readEvents(source)
			require.Equal(t, io.EOF, err)
			require.Len(t, list, 2)
			require.Equal(t, "1", list[0].id)
			require.Equal(t, "a", string(list[0].data))
			require.Equal(t, "b\nc", string(list[1].data))
			require.Equal(t, text, string(list[0].raw)+string(list[1].raw))
		})
	}
}

func TestStreamEndingInsideEventReturnsUnexpectedEOF(t *testing.T) {
	for _, tail := range []string{"id: 2", "id: 2\n", "id: 2\ndata: b\n"} {
		list, err := readEvents(bytes.NewBufferString("id: 1\ndata: a\n\n" + tail))
		require.Len(t, list, 1)
		require.Equal(t, io.ErrUnexpectedEOF, err)
	}
}

// The whole buffer of an event that does not end must be accounted for, not only its bytes.
func TestBufferOfUnfinishedEventIsReserved(t *testing.T) {
	reserved := int64(0)
	r := &eventReader{source: bytes.NewReader(make([]byte, 2*maxEventBytes)), reserve: func(n int64) error {
		reserved += n
		return nil
	}}
	_, err := r.next()
	require.Equal(t, io.ErrShortBuffer, err)
	require.GreaterOrEqual(t, reserved, int64(cap(r.buf)))
	require.Equal(t, r.reserved, reserved)
}

// A stream of many events must not be charged for more than the largest buffer that it needed.
func TestBufferOfShortEventsStaysSmall(t *testing.T) {
	reserved := int64(0)
	r := &eventReader{source: strings.NewReader(strings.Repeat("id: 1\ndata: a\n\n", 10_000)), reserve: func(n int64) error {
		reserved += n
		return nil
	}}
	count := 0
	for ; ; count++ {
		if _, err := r.next(); err != nil {
			break
		}
	}
	require.Equal(t, 10_000, count)
	require.LessOrEqual(t, reserved, int64(4*eventChunkBytes))
}

func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		list, _ := readEvents(bytes.NewReader(text))
		var all []byte
		for _, e := range list {
			all = append(all, e.raw...)
		}
		require.True(t, bytes.HasPrefix(text, all), "the events are a prefix of the input")
	})
}
