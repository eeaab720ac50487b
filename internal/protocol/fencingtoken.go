package protocol

// epochBits is the number of low-order bits of a fencing token that hold the epoch. The other bits hold the term.
const epochBits = 24

// MaxTokenEpoch is the largest epoch that a fencing token can hold.
const MaxTokenEpoch = 1<<epochBits - 1

// FencingToken returns the fencing token of an epoch within a leader's term. Epochs above [MaxTokenEpoch] count as
// MaxTokenEpoch. A worker ignores replies and commands with a token lower than the highest one that it has seen, so
// that a deposed leader cannot command it. A leader raises the epoch of a machine to invalidate its own earlier
// commands to that machine.
func FencingToken(term, epoch uint64) uint64 { return term<<epochBits | min(epoch, MaxTokenEpoch) }

// TermOfToken returns the term of a fencing token.
func TermOfToken(token uint64) uint64 { return token >> epochBits }
