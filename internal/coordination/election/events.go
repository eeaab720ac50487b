package election

import (
	"time"
)

// Event is what a step takes.
type Event interface{ event() }

// Events.
type (
	// Tick lets time pass.
	Tick struct{}
	// Key is what the state service says of the leader's key.
	Key struct {
		Present bool
		Node    string
		Term    uint64
	}
	// Beat is a peer's message; Reply is true if it answers ours, sent at Sent.
	// Complete says that we now hold every intent which the peer holds, Whole that
	// it has forgotten none that may still matter, and LifeAt when its process first
	// answered us.
	Beat struct {
		From            string
		Term            uint64
		Leader          string
		Reply           bool
		Complete, Whole bool
		LifeAt          time.Duration
		Sent            time.Duration
	}
	// Lost says that a peer's connection to us has ended.
	Lost struct{ Peer string }
	// Claimed is the outcome of a claim. Without Won, Key says who leads, if known.
	Claimed struct {
		Won   bool
		Term  uint64
		Stamp uint64
		Level int // the final feature level
		Lease uint64
		Sent  time.Duration
	}
	// Renewed is the outcome of a renewal; NoLease says that the lease is over.
	Renewed struct {
		NoLease bool
		Term    uint64
	}
	// Fresh says that the leader of the term knows every change of the accepted
	// jobs up to At.
	Fresh struct {
		Term uint64
		At   time.Duration
	}
	// Higher says that a higher term exists somewhere.
	Higher struct{ Term uint64 }
	// Resign ends our leadership, if the term is still ours. Away says that
	// another controller should lead.
	Resign struct {
		Term uint64
		Away bool
	}
)

// Effect is what a step asks for.
type Effect interface{ effect() }

// Effects.
type (
	// Claim asks for the leadership, over a leader of at most the given term.
	Claim struct{ Over uint64 }
	// Renew renews the leader's lease.
	Renew struct{ Lease, Term uint64 }
	// Lead begins the leadership of a term, in which a feature level is final.
	Lead struct {
		Term, Stamp uint64
		Level       int
	}
	// Yield ends the leadership of a term, and the lease that holds its key.
	Yield struct{ Term, Lease uint64 }
)

func (Tick) event()    {}
func (Key) event()     {}
func (Beat) event()    {}
func (Lost) event()    {}
func (Claimed) event() {}
func (Renewed) event() {}
func (Fresh) event()   {}
func (Higher) event()  {}
func (Resign) event()  {}

func (Claim) effect() {}
func (Renew) effect() {}
func (Lead) effect()  {}
func (Yield) effect() {}
