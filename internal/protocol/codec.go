package protocol

import (
	"bytes"
	"errors"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"
)

// ContentType is the content type of every HTTP body.
const ContentType = "application/msgpack"

// MaxBodyBytes is the limit of request bodies, and of responses to workers and users.
const MaxBodyBytes = 64 << 10

// Encode returns v as MessagePack.
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

// Decode decodes raw, which must be exactly one MessagePack map, into v. Any other content is an error that matches
// [ErrMalformed].
func Decode(raw []byte, v any) error {
	if !IsMap(raw) {
		return Malformed("not a map")
	}
	return DecodeAny(raw, v)
}

// DecodeAny decodes raw, which must be exactly one MessagePack value, into v. Any other content is an error that
// matches [ErrMalformed].
func DecodeAny(raw []byte, v any) (err error) {
	// The decoder may panic on malformed input. Input from outside must never end the process.
	defer func() {
		if r := recover(); r != nil {
			err = Malformed("%v", r)
		}
	}()
	dec := msgpack.GetDecoder()
	defer msgpack.PutDecoder(dec)
	dec.Reset(bytes.NewReader(raw))
	if err := dec.Decode(v); err != nil {
		return undecodable(err)
	}
	if _, err := dec.PeekCode(); !errors.Is(err, io.EOF) {
		return Malformed("bytes after the value")
	}
	return nil
}

// First bytes of MessagePack maps: a map of up to 15 pairs has the length in the low bits of its first byte.
const (
	codeFixMap     = 0x80
	codeFixMapMask = 0xf0
	codeMap16      = 0xde
	codeMap32      = 0xdf
)

// IsMap reports whether an encoded value is a MessagePack map.
func IsMap(raw []byte) bool {
	if len(raw) == 0 {
		return false
	}
	code := raw[0]
	return code&codeFixMapMask == codeFixMap || code == codeMap16 || code == codeMap32
}
