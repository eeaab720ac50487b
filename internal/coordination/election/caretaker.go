package election

import "time"

// Peer is what a peer last said of itself.
type Peer struct {
	At      time.Duration // when
	StateOK bool          // it reaches the state service
	Leader  string        // whom it takes for the leader
}

// Caretake says whether this controller may renew workers' leases although
// nobody leads: when the leader has died in an outage of the state service,
// no other can be chosen, and all tasks would be killed by their leases.
//
// That is harmless only while nobody could have told a user that a job is
// cancelled, for a worker that is kept here does not learn of it. So every
// single controller must have said just now that it does not reach the state
// service and knows no leader. No command is given, and a lease is never a
// proof that a task is gone.
func Caretake(now time.Duration, t Times, v View, stateOK bool, peers []string, heard map[string]Peer) bool {
	if v.Leading || v.Leader != "" || stateOK || len(peers) == 0 {
		return false
	}
	for _, name := range peers {
		p, ok := heard[name]
		if !ok || p.StateOK || p.Leader != "" || now-p.At > t.Silent/2 {
			return false
		}
	}
	return true
}
