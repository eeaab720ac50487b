package protocol

import (
	"bytes"
	"errors"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"
)

// ContentType is the media type of every HTTP request and response body.
const ContentType = "application/msgpack"

// MaxBodyBytes is the maximum size of a request body, and of the body of a response to a worker or a user.
const MaxBodyBytes = 64 << 10

// Encode returns the MessagePack encoding of v.
func Encode(v any) ([]byte, error) {
	var buf bytes.Buffer
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(&buf)
	enc.UseCompactInts(true)
	if err := enc.Encode(v); err != nil {
		return nil, fmt.Errorf("encode: %w", err)
	}
	return buf.Bytes(), nil
}

// Decode decodes raw into v. It returns an error that matches [ErrMalformed] unless raw consists of exactly one
// MessagePack map that fits v.
func Decode(raw []byte, v any) error {
	if !IsMap(raw) {
		return NewMalformedError("not a map")
	}
	return DecodeValue(raw, v)
}

// DecodeValue decodes raw into v. It returns an error that matches [ErrMalformed] unless raw consists of exactly one
// MessagePack value, of any type that fits v.
func DecodeValue(raw []byte, v any) (err error) {
	// The msgpack decoder may panic on malformed input, and input from outside must never crash the process.
	defer func() {
		if r := recover(); r != nil {
			err = NewMalformedError("%v", r)
		}
	}()
	dec := msgpack.GetDecoder()
	defer msgpack.PutDecoder(dec)
	dec.Reset(bytes.NewReader(raw))
	if err := dec.Decode(v); err != nil {
		return decodeError(err)
	}
	if _, err := dec.PeekCode(); !errors.Is(err, io.EOF) {
		return NewMalformedError("bytes after the value")
	}
	return nil
}

// The first byte of an encoded MessagePack map. A map of up to 15 pairs (fixmap) has its length in the low four bits;
// longer ones (map 16, map 32) have it in the bytes that follow.
const (
	codeFixMap     = 0x80
	codeFixMapMask = 0xf0
	codeMap16      = 0xde
	codeMap32      = 0xdf
)

// IsMap reports whether raw begins with a MessagePack map. It looks at the first byte only.
func IsMap(raw []byte) bool {
	if len(raw) == 0 {
		return false
	}
	code := raw[0]
	return code&codeFixMapMask == codeFixMap || code == codeMap16 || code == codeMap32
}
