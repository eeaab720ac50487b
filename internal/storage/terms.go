package storage

import (
	"github.com/vmihailenco/msgpack/v5"

	"pinebay/internal/protocol"
)

// TermRecord is the record of the current term. Every write of a leader is fenced by its revision.
type TermRecord struct {
	Term       uint64
	Controller string
	// ClaimID distinguishes this attempt to become leader from other attempts of the same controller for the same term.
	ClaimID string
	// FeatureLevel is the final feature level. Once it is recorded, records may be written that processes of a lower
	// level cannot read.
	FeatureLevel int
	// WriteName is the name of the transaction that raised the level, by which its writer recognizes it.
	WriteName string
}

// termWithoutLevel is the encoding of a term record at feature level 0. Every version can decode it.
type termWithoutLevel struct {
	Term       uint64 `msgpack:"term"`
	Controller string `msgpack:"node"`
	ClaimID    string `msgpack:"claim"`
}

// termWithLevel is the encoding of a term record at feature level 1 and above. A version without feature levels expects
// the term to be a number, and so it can neither decode this record nor claim the next term.
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

// EncodeTerm encodes a term record.
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

// DecodeTerm decodes a term record in either encoding.
func DecodeTerm(raw []byte) (TermRecord, error) {
	var header struct {
		Term msgpack.RawMessage `msgpack:"term"`
	}
	if err := protocol.Decode(raw, &header); err != nil {
		return TermRecord{}, decodeError(TermKey, err)
	}
	if !protocol.IsMap(header.Term) {
		var withoutLevel termWithoutLevel
		if err := protocol.Decode(raw, &withoutLevel); err != nil {
			return TermRecord{}, decodeError(TermKey, err)
		}
		return TermRecord{
			Term:       withoutLevel.Term,
			Controller: withoutLevel.Controller,
			ClaimID:    withoutLevel.ClaimID,
		}, nil
	}
	var withLevel termWithLevel
	if err := protocol.Decode(raw, &withLevel); err != nil {
		return TermRecord{}, decodeError(TermKey, err)
	}
	return TermRecord{
		Term:         withLevel.Term.Number,
		Controller:   withLevel.Controller,
		ClaimID:      withLevel.ClaimID,
		FeatureLevel: withLevel.Term.Level,
		WriteName:    withLevel.WriteName,
	}, nil
}
