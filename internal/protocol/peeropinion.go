package protocol

import "math"

// PeerOpinion is the view that the sender of a heartbeat has of another controller.
type PeerOpinion struct {
	Controller  string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint,omitempty"`
	Refutations uint64 `cbor:"3,keyasint,omitempty"`
	// SinceLastContactMS is the time in milliseconds since the sender last had contact with the controller, or -1 if it
	// never had.
	SinceLastContactMS int64   `cbor:"4,keyasint"`
	Suspected          bool    `cbor:"5,keyasint,omitempty"`
	SuspectedForMS     int64   `cbor:"6,keyasint,omitempty"`
	Phi                float64 `cbor:"7,keyasint,omitempty"`
	Failed             bool    `cbor:"8,keyasint,omitempty"`
	// UnreachableThrough lists the other controllers whose probes did not reach this one.
	UnreachableThrough []string `cbor:"9,keyasint,omitempty"`
}

// MaxOpinions is the maximum number of opinions in a message, and of controllers in UnreachableThrough of each opinion.
const MaxOpinions = 256

// ValidateOpinions returns an error that matches [ErrMalformed] if there are too many opinions, or if the values of one
// are impossible or inconsistent.
func ValidateOpinions(opinions []PeerOpinion) error {
	if len(opinions) > MaxOpinions {
		return NewMalformedError("%d opinions", len(opinions))
	}
	for i := range opinions {
		if !opinions[i].valid() {
			return NewMalformedError("opinion of %q", opinions[i].Controller)
		}
	}
	return nil
}

func (o *PeerOpinion) valid() bool {
	switch {
	case o.Controller == "", len(o.UnreachableThrough) > MaxOpinions:
		return false
	case o.SinceLastContactMS < -1, o.SinceLastContactMS > math.MaxInt32:
		return false
	case o.SuspectedForMS < 0, o.SuspectedForMS > math.MaxInt32:
		return false
	case !isFiniteNonNegative(o.Phi):
		return false
	case o.Failed && !o.Suspected:
		return false
	case o.SinceLastContactMS >= 0 && o.Incarnation == 0:
		return false
	}
	return true
}
