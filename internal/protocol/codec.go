// Package protocol holds the messages of every interface: users, workers, the
// cloud, the state service and the other controllers. The words that are used
// on the wire appear only in the tags of these types; the rest of the daemon
// uses the field's terms.
package protocol

import (
	"bytes"
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/vmihailenco/msgpack/v5"
)

// ContentType is that of every HTTP body.
const ContentType = "application/msgpack"

// MaxBodyBytes bounds request bodies, and responses to workers and users.
const MaxBodyBytes = 64 << 10

// ErrMalformed is wrapped by every complaint about a message's form.
var ErrMalformed = errors.New("malformed")

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

// Decode reads one MessagePack map into v and refuses anything else.
func Decode(raw []byte, v any) (err error) {
	if !IsMap(raw) {
		return fmt.Errorf("%w: not a map", ErrMalformed)
	}
	return DecodeAny(raw, v)
}

// DecodeAny reads one MessagePack value into v.
func DecodeAny(raw []byte, v any) (err error) {
	// A value from outside must never end the process, whatever the library
	// thinks of it.
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("%w: %v", ErrMalformed, r)
		}
	}()
	r := bytes.NewReader(raw)
	dec := msgpack.GetDecoder()
	defer msgpack.PutDecoder(dec)
	dec.Reset(r)
	if err := dec.Decode(v); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if _, err := dec.PeekCode(); err != io.EOF {
		return fmt.Errorf("%w: bytes after the value", ErrMalformed)
	}
	return nil
}

// IsMap says whether an encoded value is a map.
func IsMap(raw []byte) bool {
	if len(raw) == 0 {
		return false
	}
	c := raw[0]
	return c&0xf0 == 0x80 || c == 0xde || c == 0xdf
}

var (
	cborEncMode = must(cbor.EncOptions{}.EncMode())
	cborDecMode = must(cbor.DecOptions{MaxNestedLevels: 16, MaxArrayElements: 1 << 16, MaxMapPairs: 1 << 10}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err) // options that are fixed above
	}
	return v
}
