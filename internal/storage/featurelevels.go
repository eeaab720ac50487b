package storage

import (
	"strings"

	"pinebay/internal/protocol"
)

// FeatureLevelPrefix is the prefix of the keys of the controllers' feature levels.
const FeatureLevelPrefix = "feature/node/"

// FeatureLevelKey returns the key of a controller's feature level.
func FeatureLevelKey(controller string) string { return FeatureLevelPrefix + controller }

// FeatureLevelRecord is the highest feature level that any process of a controller has supported.
type FeatureLevelRecord struct {
	Level int `msgpack:"level"`
}

// DecodeFeatureLevel decodes a record, and returns it with the controller that its key names.
func DecodeFeatureLevel(stored protocol.KeyValue) (controller string, record FeatureLevelRecord, err error) {
	if err := protocol.Decode(stored.Value, &record); err != nil {
		return "", record, decodeError(stored.Key, err)
	}
	return strings.TrimPrefix(stored.Key, FeatureLevelPrefix), record, nil
}
