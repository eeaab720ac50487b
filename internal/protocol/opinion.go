package protocol

import (
	"fmt"
	"math"
)

// PeerOpinion is what a controller holds of another one, on a heartbeat.
type PeerOpinion struct {
	Node        string `cbor:"1,keyasint"`
	Life        uint64 `cbor:"2,keyasint,omitempty"`
	Incarnation uint64 `cbor:"3,keyasint,omitempty"`
	// HeardMS is how long ago it was last heard, in milliseconds; -1: never.
	HeardMS     int64    `cbor:"4,keyasint"`
	Suspected   bool     `cbor:"5,keyasint,omitempty"`
	SuspectedMS int64    `cbor:"6,keyasint,omitempty"`
	Phi         float64  `cbor:"7,keyasint,omitempty"`
	Failed      bool     `cbor:"8,keyasint,omitempty"`
	Probed      []string `cbor:"9,keyasint,omitempty"`
}

// MaxOpinions bounds the opinions of one message, and what each of them names.
const MaxOpinions = 256

// CheckOpinions says what is wrong with the opinions of a message, if anything is.
func CheckOpinions(opinions []PeerOpinion) error {
	if len(opinions) > MaxOpinions {
		return fmt.Errorf("%w: %d opinions", ErrMalformed, len(opinions))
	}
	for _, o := range opinions {
		switch {
		case o.Node == "", len(o.Probed) > MaxOpinions, o.HeardMS < -1, o.SuspectedMS < 0, o.HeardMS > math.MaxInt32, o.SuspectedMS > math.MaxInt32,
			!(o.Phi >= 0), math.IsInf(o.Phi, 0), o.Failed && !o.Suspected, o.HeardMS >= 0 && o.Life == 0:
			return fmt.Errorf("%w: opinion of %q", ErrMalformed, o.Node)
		}
	}
	return nil
}
