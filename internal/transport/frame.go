package transport

import (
	"encoding/binary"
	"io"

	"pinebay/internal/protocol"
)

// frameHeaderBytes is the size of a frame's header, which holds the length of the content as a big-endian integer.
const frameHeaderBytes = 4

// maxFrameBytes limits the content of a frame. A frame must be able to hold a forwarded HTTP body and the fields around
// it.
const maxFrameBytes = protocol.MaxBodyBytes + 4<<10

// WriteFrame writes raw as one frame with a single call of w.Write.
func WriteFrame(w io.Writer, raw []byte) error {
	if len(raw) > maxFrameBytes {
		return protocol.NewMalformedError("frame of %d bytes", len(raw))
	}
	frame := make([]byte, 0, frameHeaderBytes+len(raw))
	frame = binary.BigEndian.AppendUint32(frame, uint32(len(raw)))
	_, err := w.Write(append(frame, raw...))
	return err
}

// ReadFrame reads one frame and returns its content. The error for an empty frame or one that is too long matches
// [protocol.ErrMalformed]; other errors are those of r.
func ReadFrame(r io.Reader) ([]byte, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(header[:])
	if n == 0 || n > maxFrameBytes {
		return nil, protocol.NewMalformedError("frame of %d bytes", n)
	}
	raw := make([]byte, n)
	_, err := io.ReadFull(r, raw)
	return raw, err
}
