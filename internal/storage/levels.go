package storage

import (
	"fmt"
	"strings"

	"pinebay/internal/protocol"
)

// LevelPrefix is where each controller records the feature level that it speaks.
const LevelPrefix = "feature/node/"

// LevelKey is where a controller's feature level lies.
func LevelKey(node string) string { return LevelPrefix + node }

// LevelRecord is the highest feature level that a process of a controller has spoken.
type LevelRecord struct {
	Level int `msgpack:"level"`
}

// DecodeLevel reads a controller's feature level, and its name in the key.
func DecodeLevel(p protocol.KeyValue) (node string, rec LevelRecord, err error) {
	if err := protocol.Decode(p.Value, &rec); err != nil {
		return "", rec, fmt.Errorf("key %q: %w", p.Key, err)
	}
	return strings.TrimPrefix(p.Key, LevelPrefix), rec, nil
}
