package storage

import "pinebay/internal/protocol"

// checkFormat returns an error if a record doesn't have the supported format. It decodes only the format, because all
// other fields may differ in a newer one.
func checkFormat(key string, raw []byte, supported int) error {
	var header struct {
		Format int `msgpack:"v"`
	}
	if err := protocol.Decode(raw, &header); err != nil {
		return decodeError(key, err)
	}
	if header.Format > supported {
		return &NewerFormatError{Key: key, Format: header.Format, Supported: supported}
	}
	if header.Format != supported {
		return malformed(key, "invalid format %d", header.Format)
	}
	return nil
}
