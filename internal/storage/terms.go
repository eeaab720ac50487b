package storage

import (
	"github.com/vmihailenco/msgpack/v5"

	"pinebay/internal/protocol"
)

// TermRecord counts terms. Its revision fences every write of a leader.
type TermRecord struct {
	Term       uint64
	Controller string
	// ClaimID tells this attempt to lead from others of the same controller for the same term.
	ClaimID string
	// FeatureLevel is the feature level that is final: records written from then on need not be readable for
	// processes of a lower level.
	FeatureLevel int
	// WriteName names the transaction that raised the level, so that its author recognises it.
	WriteName string
}

// termWithoutLevel is a term record below the first feature level. Every version reads it.
type termWithoutLevel struct {
	Term       uint64 `msgpack:"term"`
	Controller string `msgpack:"node"`
	ClaimID    string `msgpack:"claim"`
}

// termWithLevel is a term record from the first feature level on. A process from before the levels expects a number
// for the term and fails to read this: so it can't claim the next term.
type termWithLevel struct {
	Term       termNumberWithLevel `msgpack:"term"`
	Controller string              `msgpack:"node"`
	ClaimID    string              `msgpack:"claim"`
	WriteName  string              `msgpack:"w,omitempty"`
}

type termNumberWithLevel struct {
	Number uint64 `msgpack:"n"`
	Level  int    `msgpack:"level"`
}

// EncodeTerm returns the record as it is stored.
func EncodeTerm(r TermRecord) ([]byte, error) {
	if r.FeatureLevel == 0 {
		return protocol.Encode(termWithoutLevel{Term: r.Term, Controller: r.Controller, ClaimID: r.ClaimID})
	}
	return protocol.Encode(
		termWithLevel{
			Term:       termNumberWithLevel{Number: r.Term, Level: r.FeatureLevel},
			Controller: r.Controller,
			ClaimID:    r.ClaimID,
			WriteName:  r.WriteName,
		},
	)
}

// DecodeTerm decodes a stored record of either form.
func DecodeTerm(raw []byte) (TermRecord, error) {
	var form struct {
		Term msgpack.RawMessage `msgpack:"term"`
	}
	if err := protocol.Decode(raw, &form); err != nil {
		return TermRecord{}, undecodable(TermKey, err)
	}
	if !protocol.IsMap(form.Term) {
		var plain termWithoutLevel
		if err := protocol.Decode(raw, &plain); err != nil {
			return TermRecord{}, undecodable(TermKey, err)
		}
		return TermRecord{Term: plain.Term, Controller: plain.Controller, ClaimID: plain.ClaimID}, nil
	}
	var leveled termWithLevel
	if err := protocol.Decode(raw, &leveled); err != nil {
		return TermRecord{}, undecodable(TermKey, err)
	}
	return TermRecord{
		Term:         leveled.Term.Number,
		Controller:   leveled.Controller,
		ClaimID:      leveled.ClaimID,
		FeatureLevel: leveled.Term.Level,
		WriteName:    leveled.WriteName,
	}, nil
}
