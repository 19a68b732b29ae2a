package frame

import (
	"bytes"
	"encoding/binary"
	"io"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/peerpb"
)

func TestRoundTrip(t *testing.T) {
	var b bytes.Buffer
	in := &peerpb.Frame{From: "dc/h1.1", Body: &peerpb.Frame_Heartbeat{Heartbeat: &peerpb.Heartbeat{Slots: 7}}}
	require.NoError(t, Write(&b, in))
	out := &peerpb.Frame{}
	require.NoError(t, Read(&b, out))
	assert.Equal(t, uint32(7), out.GetHeartbeat().Slots)
	assert.Equal(t, io.EOF, Read(&b, out))
}

func TestBadFramesAreRejected(t *testing.T) {
	oversize := binary.BigEndian.AppendUint32(nil, MaxBytes+1)
	for name, c := range map[string]struct {
		bytes []byte
		kind  failure.Kind
	}{
		"oversize":         {oversize, failure.TooLarge},
		"truncated header": {[]byte{0, 0}, failure.PeerUnavailable},
		"truncated body":   {[]byte{0, 0, 0, 9, 1, 2}, failure.PeerUnavailable},
		"not a message":    {[]byte{0, 0, 0, 2, 0xff, 0xff}, failure.BadRequest},
	} {
		err := Read(bytes.NewReader(c.bytes), &peerpb.Frame{})
		assert.True(t, failure.Is(err, c.kind), "%s: %v", name, err)
	}
	assert.True(t, failure.Is(Write(io.Discard, &peerpb.CallRequest{Prompt: make([]byte, MaxBytes+1)}), failure.TooLarge))
}

func FuzzRead(f *testing.F) {
	var b bytes.Buffer
	_ = Write(&b, &peerpb.Frame{From: "x"})
	f.Add(b.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, in []byte) {
		r := bytes.NewReader(in)
		for Read(r, &peerpb.Frame{}) == nil {
		}
	})
}
