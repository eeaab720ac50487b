package storage

import "pinebay/internal/protocol"

// checkFormat returns an error if a record doesn't have the supported format. It reads nothing but the format, as all
// else may be different in a newer one.
func checkFormat(key string, raw []byte, supported int) error {
	var header struct {
		Format int `msgpack:"v"`
	}
	if err := protocol.Decode(raw, &header); err != nil {
		return undecodable(key, err)
	}
	if header.Format > supported {
		return &NewerFormatError{Key: key, Format: header.Format, Supported: supported}
	}
	if header.Format != supported {
		return malformed(key, "format %d", header.Format)
	}
	return nil
}
