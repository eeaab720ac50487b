package storage

import (
	"fmt"
	"strings"

	"pinebay/internal/protocol"
)

// FeatureLevelPrefix is where each controller records the feature level that it speaks.
const FeatureLevelPrefix = "feature/node/"

// FeatureLevelKey is where a controller's feature level lies.
func FeatureLevelKey(node string) string { return FeatureLevelPrefix + node }

// FeatureLevelRecord is the highest feature level that a process of a controller has spoken.
type FeatureLevelRecord struct {
	Level int `msgpack:"level"`
}

// DecodeFeatureLevel reads a controller's feature level, and its name in the key.
func DecodeFeatureLevel(p protocol.KeyValue) (node string, rec FeatureLevelRecord, err error) {
	if err := protocol.Decode(p.Value, &rec); err != nil {
		return "", rec, fmt.Errorf("key %q: %w", p.Key, err)
	}
	return strings.TrimPrefix(p.Key, FeatureLevelPrefix), rec, nil
}
