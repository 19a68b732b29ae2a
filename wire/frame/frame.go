// Package frame reads and writes the messages between hosts. A message is a four-byte
// big-endian length followed by a protobuf message of that length.
package frame

import (
	"encoding/binary"
	"io"

	"google.golang.org/protobuf/proto"

	"github.com/pistachioarch/pistachioarch/core/failure"
)

// MaxBytes bounds one message. A longer one is rejected before it is read.
const MaxBytes = 32 << 20

const headerBytes = 4

// The first byte of a stream identifies its content.
const (
	// StreamFrames carries peerpb.Frame messages in one direction.
	StreamFrames byte = 'F'
	// StreamRequest carries one peerpb.Forward and its replies.
	StreamRequest byte = 'R'
)

// Write sends one message in a single write. The failure is TooLarge for a message of more
// than MaxBytes, and PeerUnavailable if the write fails.
func Write(w io.Writer, m proto.Message) error {
	_, err := WriteCounted(w, m)
	return err
}

// WriteCounted is Write that also returns the size of the frame in bytes.
func WriteCounted(w io.Writer, m proto.Message) (int, error) {
	buf, err := proto.MarshalOptions{}.MarshalAppend(make([]byte, headerBytes, headerBytes+256), m)
	if err != nil {
		return 0, failure.Wrap(err, failure.Internal, "encode frame")
	}
	size := len(buf) - headerBytes
	if size > MaxBytes {
		return 0, failure.New(failure.TooLarge, "frame of %d bytes", size)
	}
	binary.BigEndian.PutUint32(buf, uint32(size))
	if _, err := w.Write(buf); err != nil {
		return 0, failure.Wrap(err, failure.PeerUnavailable, "write frame")
	}
	return len(buf), nil
}

// Read receives one message into m. At the end of the stream between two messages it returns
// io.EOF itself. Any other error is a Failure: TooLarge for a message of more than MaxBytes,
// BadRequest for one that cannot be decoded, PeerUnavailable if the read fails.
func Read(r io.Reader, m proto.Message) error {
	_, err := ReadCounted(r, m)
	return err
}

// ReadCounted is Read that also returns the size of the frame in bytes.
func ReadCounted(r io.Reader, m proto.Message) (int, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		if err == io.EOF {
			return 0, io.EOF
		}
		return 0, failure.Wrap(err, failure.PeerUnavailable, "read frame header")
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > MaxBytes {
		return 0, failure.New(failure.TooLarge, "frame of %d bytes", size)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return 0, failure.Wrap(err, failure.PeerUnavailable, "read frame")
	}
	if err := proto.Unmarshal(body, m); err != nil {
		return 0, failure.Wrap(err, failure.BadRequest, "decode frame")
	}
	return headerBytes + len(body), nil
}
