package storage

import (
	"bytes"
	"encoding/json"

	"pinebay/internal/protocol"
)

// JSONSize bounds the size of a stored value in JSON, the form in which the state service counts its
// limits. As nothing says how that separates its items, a blank is counted after each comma and colon.
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

// FitsValueLimit says whether a value keeps within a limit in KiB.
func FitsValueLimit(raw []byte, valueKB float64) bool {
	size, err := JSONSize(raw)
	return err == nil && float64(size) <= valueKB*1024
}
