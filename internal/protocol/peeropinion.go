package protocol

import "math"

// PeerOpinion is the sender's view of another controller, in a heartbeat.
type PeerOpinion struct {
	Controller  string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint,omitempty"`
	Refutations uint64 `cbor:"3,keyasint,omitempty"`
	// HeardAgoMS is the time since the last sign of life, in milliseconds, or -1 if there was none.
	HeardAgoMS     int64   `cbor:"4,keyasint"`
	Suspected      bool    `cbor:"5,keyasint,omitempty"`
	SuspectedForMS int64   `cbor:"6,keyasint,omitempty"`
	Phi            float64 `cbor:"7,keyasint,omitempty"`
	Failed         bool    `cbor:"8,keyasint,omitempty"`
	// UnreachableThrough are the peers that could not reach the controller either.
	UnreachableThrough []string `cbor:"9,keyasint,omitempty"`
}

// MaxOpinions is the limit of the opinions in a message, and of the controllers that each of them names.
const MaxOpinions = 256

// CheckOpinions returns an error that matches [ErrMalformed] if any of the opinions is one that no controller can hold.
func CheckOpinions(opinions []PeerOpinion) error {
	if len(opinions) > MaxOpinions {
		return Malformed("%d opinions", len(opinions))
	}
	for i := range opinions {
		if !opinions[i].valid() {
			return Malformed("opinion of %q", opinions[i].Controller)
		}
	}
	return nil
}

func (o *PeerOpinion) valid() bool {
	switch {
	case o.Controller == "", len(o.UnreachableThrough) > MaxOpinions:
		return false
	case o.HeardAgoMS < -1, o.HeardAgoMS > math.MaxInt32:
		return false
	case o.SuspectedForMS < 0, o.SuspectedForMS > math.MaxInt32:
		return false
	case !isAmount(o.Phi):
		return false
	case o.Failed && !o.Suspected:
		return false
	case o.HeardAgoMS >= 0 && o.Incarnation == 0:
		return false
	}
	return true
}
