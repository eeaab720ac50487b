package storage

import (
	"bytes"
	"encoding/json"

	"pinebay/internal/protocol"
)

// BytesPerKB converts limits of values, which are given in KiB.
const BytesPerKB = 1024

// JSONSize returns an upper bound of the size of a stored value in JSON, the form in which the store counts its limits.
// As it isn't specified how items are separated, a blank is counted after each comma and colon.
func JSONSize(raw []byte) (int, error) {
	var value any
	if err := protocol.DecodeAny(raw, &value); err != nil {
		return 0, err
	}
	text, err := json.Marshal(value)
	if err != nil {
		return 0, err
	}
	return len(text) + bytes.Count(text, []byte(",")) + bytes.Count(text, []byte(":")), nil
}

// FitsValueLimit reports whether a value is within a limit in KiB.
func FitsValueLimit(raw []byte, valueKB float64) bool {
	size, err := JSONSize(raw)
	return err == nil && float64(size) <= valueKB*BytesPerKB
}
