package protocol

// epochBits is the number of low bits of a fencing token that hold the epoch within a term.
const epochBits = 24

// MaxTokenEpoch is the last epoch of a term.
const MaxTokenEpoch = 1<<epochBits - 1

// FencingToken returns the token of a term and an epoch. A worker ignores replies and commands with a lower token than
// the highest one that it has seen, so that a deposed leader cannot command it. A leader raises the epoch of a machine
// to invalidate its own earlier commands there.
func FencingToken(term, epoch uint64) uint64 { return term<<epochBits | min(epoch, MaxTokenEpoch) }

// TermOfToken returns the term of a token.
func TermOfToken(token uint64) uint64 { return token >> epochBits }
