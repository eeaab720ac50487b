package fencing

import "slices"

// PeerReply is the outcome of asking one peer which machines it has recently received heartbeats from.
type PeerReply struct {
	// Answered reports whether the peer answered the query completely.
	Answered bool
	// LiveMachines lists the machines that the peer has recently received heartbeats from.
	LiveMachines []string
	// InQuorum reports whether the peer was just counted towards the quorum that agrees that there is no leader. Such a
	// peer may be serving machines.
	InQuorum bool
}

// UnreachableMachines returns the machines that no peer has received a recent heartbeat from. certain is false if a
// peer in the quorum did not answer: a machine that is alive but reports to that peer only would otherwise be released.
func UnreachableMachines(machines []string, replies []PeerReply) (unreachable []string, certain bool) {
	live := map[string]bool{}
	for _, r := range replies {
		if !r.Answered && r.InQuorum {
			return nil, false
		}
		for _, name := range r.LiveMachines {
			live[name] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(machines), func(name string) bool { return live[name] }), true
}
