package storage

import (
	"bytes"
	"encoding/json"

	"pinebay/internal/protocol"
)

// BytesPerKiB converts value limits, which are configured in KiB, to bytes.
const BytesPerKiB = 1024

// JSONSize returns an upper bound of the size of a stored value in JSON, the encoding in which the store measures
// values against its limits. The store does not specify the whitespace, so one space is counted after each comma and
// colon.
func JSONSize(raw []byte) (int, error) {
	var value any
	if err := protocol.DecodeValue(raw, &value); err != nil {
		return 0, err
	}
	encoded, err := json.Marshal(value)
	if err != nil {
		return 0, err
	}
	return len(encoded) + bytes.Count(encoded, []byte(",")) + bytes.Count(encoded, []byte(":")), nil
}

// FitsValueLimit reports whether a value is within a limit given in KiB.
func FitsValueLimit(raw []byte, valueKB float64) bool {
	size, err := JSONSize(raw)
	return err == nil && float64(size) <= valueKB*BytesPerKiB
}
