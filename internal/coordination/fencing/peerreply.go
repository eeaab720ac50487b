package fencing

import "slices"

// PeerReply is the outcome of asking one peer which of some machines it hears.
type PeerReply struct {
	// Answered says that the peer answered the whole question.
	Answered bool
	// Heard names the machines that it hears.
	Heard []string
	// InQuorum says that the peer was just counted towards the quorum that agrees that nobody leads.
	// Such a peer may be serving machines.
	InQuorum bool
}

// StillSilent returns those of the machines that no peer hears. certain is false if a peer that is
// in the quorum did not answer: a live machine that only this peer hears would be released.
func StillSilent(machines []string, replies []PeerReply) (silent []string, certain bool) {
	heard := map[string]bool{}
	for _, r := range replies {
		if !r.Answered && r.InQuorum {
			return nil, false
		}
		for _, name := range r.Heard {
			heard[name] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(machines), func(name string) bool { return heard[name] }), true
}
