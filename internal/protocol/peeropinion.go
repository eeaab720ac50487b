package protocol

import (
	"fmt"
	"math"
)

// PeerOpinion is what a controller holds of another one, on a heartbeat.
type PeerOpinion struct {
	Controller  string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint,omitempty"`
	Refutations uint64 `cbor:"3,keyasint,omitempty"`
	// HeardAgoMS is how long ago it was last heard, in milliseconds; -1: never.
	HeardAgoMS         int64    `cbor:"4,keyasint"`
	Suspected          bool     `cbor:"5,keyasint,omitempty"`
	SuspectedForMS     int64    `cbor:"6,keyasint,omitempty"`
	Phi                float64  `cbor:"7,keyasint,omitempty"`
	Failed             bool     `cbor:"8,keyasint,omitempty"`
	UnreachableThrough []string `cbor:"9,keyasint,omitempty"`
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
		case o.Controller == "",
			len(o.UnreachableThrough) > MaxOpinions,
			o.HeardAgoMS < -1,
			o.SuspectedForMS < 0,
			o.HeardAgoMS > math.MaxInt32,
			o.SuspectedForMS > math.MaxInt32,
			!(o.Phi >= 0),
			math.IsInf(o.Phi, 0),
			o.Failed && !o.Suspected,
			o.HeardAgoMS >= 0 && o.Incarnation == 0:
			return fmt.Errorf("%w: opinion of %q", ErrMalformed, o.Controller)
		}
	}
	return nil
}
