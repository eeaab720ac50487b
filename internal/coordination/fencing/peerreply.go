package fencing

import "slices"

// PeerReply is the outcome of asking one peer which machines it has recently heard from.
type PeerReply struct {
	// Answered reports whether the peer answered the query completely.
	Answered bool
	// Heard lists the machines that the peer has recently heard from.
	Heard []string
	// InQuorum reports whether the peer was just counted towards the quorum that agrees that there is no leader. Such a
	// peer may be serving machines.
	InQuorum bool
}

// UnreachableMachines returns the machines that no peer has heard from. certain is false if a peer in the quorum did
// not answer: a machine that is alive but reports to that peer only would otherwise be released.
func UnreachableMachines(machines []string, replies []PeerReply) (unreachable []string, certain bool) {
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
