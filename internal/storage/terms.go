package storage

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"pinebay/internal/protocol"
)

// TermRecord counts terms. Its version fences every write of a leader.
type TermRecord struct {
	Term uint64
	Node string
	// Claim tells one attempt to lead from another with the same outcome.
	Claim string
	// Level is the feature level that is final: what is written from then on need not be readable for
	// processes of a lower one.
	Level int
	// Write names the transaction that raised the level, so that its author knows it again.
	Write string
}

// plainTerm is a term record below the first feature level, as every version reads it.
type plainTerm struct {
	Term  uint64 `msgpack:"term"`
	Node  string `msgpack:"node"`
	Claim string `msgpack:"claim"`
}

// leveledTerm is a term record from the first feature level on. A process from before the levels expects
// a number for the term and fails to read this, and who can't read the term can't claim the next one.
type leveledTerm struct {
	Term  leveledNumber `msgpack:"term"`
	Node  string        `msgpack:"node"`
	Claim string        `msgpack:"claim"`
	Write string        `msgpack:"w,omitempty"`
}

type leveledNumber struct {
	Number uint64 `msgpack:"n"`
	Level  int    `msgpack:"level"`
}

// EncodeTerm returns the record as it is stored.
func EncodeTerm(r TermRecord) ([]byte, error) {
	if r.Level == 0 {
		return protocol.Encode(plainTerm{Term: r.Term, Node: r.Node, Claim: r.Claim})
	}
	return protocol.Encode(leveledTerm{Term: leveledNumber{Number: r.Term, Level: r.Level}, Node: r.Node, Claim: r.Claim, Write: r.Write})
}

// DecodeTerm reads a stored record of either form.
func DecodeTerm(raw []byte) (TermRecord, error) {
	var form struct {
		Term msgpack.RawMessage `msgpack:"term"`
	}
	if err := protocol.Decode(raw, &form); err != nil {
		return TermRecord{}, fmt.Errorf("term record: %w", err)
	}
	if !protocol.IsMap(form.Term) {
		var plain plainTerm
		if err := protocol.Decode(raw, &plain); err != nil {
			return TermRecord{}, fmt.Errorf("term record: %w", err)
		}
		return TermRecord{Term: plain.Term, Node: plain.Node, Claim: plain.Claim}, nil
	}
	var leveled leveledTerm
	if err := protocol.Decode(raw, &leveled); err != nil {
		return TermRecord{}, fmt.Errorf("term record: %w", err)
	}
	return TermRecord{Term: leveled.Term.Number, Node: leveled.Node, Claim: leveled.Claim, Level: leveled.Term.Level, Write: leveled.Write}, nil
}
