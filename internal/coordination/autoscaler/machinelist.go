package autoscaler

import (
	"slices"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/protocol"
)

// machineList is what the cloud's list has shown. The list is eventually consistent: it lags, and
// a later answer may describe an earlier moment.
type machineList struct {
	requestInFlight bool
	lastRequest     time.Duration
	firstCompleteAt time.Duration            // when the first complete list arrived; 0: none has
	firstSeen       map[string]time.Duration // when machines were first listed
	// releasedAt is when machines were returned to the cloud, for a while: late lists and
	// heartbeats must not bring them back.
	releasedAt map[string]time.Duration
}

// releasedMemoryFactor is how long returned machines are remembered, in times that a cancellation
// may take. Messages may be minutes late. One that is later still would bring back a machine that
// is silent from then on, and would so be returned once more.
const releasedMemoryFactor = 20

// HasMachineList reports whether a complete list has arrived in this term. Before that it is not
// known which machines are there.
func (a *Autoscaler) HasMachineList() bool { return a.list.firstCompleteAt > 0 }

// RecentlyReleased reports whether the machine was returned to the cloud not long ago. Whatever is
// still received of it is to be ignored.
func (a *Autoscaler) RecentlyReleased(machine string) bool {
	_, ok := a.list.releasedAt[machine]
	return ok
}

// HandleList adds the machines of a complete list, requested at the given time, to the registry.
// It returns, in name order, the machines that the list proves to be gone; the caller must remove
// them from the registry.
func (a *Autoscaler) HandleList(
	now, requestedAt time.Duration,
	list []protocol.ListedMachine,
) (gone []string) {
	a.list.requestInFlight = false
	listed := make(map[string]bool, len(list))
	for i := range list {
		listed[list[i].Name] = true
		a.addListed(now, &list[i])
	}
	gone = a.goneMachines(now, requestedAt, listed)
	if a.list.firstCompleteAt == 0 {
		a.list.firstCompleteAt = now
	}
	return gone
}

// HandleListFailure notes that a list could not be read. It is requested again in time.
func (a *Autoscaler) HandleListFailure() { a.list.requestInFlight = false }

// addListed brings the registry up to date with one entry of a list.
func (a *Autoscaler) addListed(now time.Duration, l *protocol.ListedMachine) {
	if a.RecentlyReleased(l.Name) {
		return // the list is older than the release
	}
	if _, ok := a.list.firstSeen[l.Name]; !ok {
		a.list.firstSeen[l.Name] = now
	}
	if a.releasing[l.Name] {
		return
	}
	m := a.registry.Machine(l.Name)
	if m == nil {
		m = a.registry.GetOrCreate(now, l.Name)
		m.RentedAt = now - config.Seconds(l.AgeSeconds)
	}
	if !m.Registered {
		m.Addr, m.Type, m.Zone, m.Spot = l.Addr, l.Type, l.Zone, l.Spot
	}
	if l.State == protocol.MachineFailed {
		m.MarkTerminating()
	}
}

// goneMachines returns the machines that are missing from a list and proven to be gone. A list
// requested later than twice its lag after a machine was first listed describes a later moment
// than that list did, so a machine that is missing there has left for good. A machine that still
// sends heartbeats contradicts the list and is kept.
func (a *Autoscaler) goneMachines(
	now, requestedAt time.Duration,
	listed map[string]bool,
) (gone []string) {
	for name, firstSeen := range a.list.firstSeen {
		if listed[name] || requestedAt <= firstSeen+a.listStaleness() {
			continue
		}
		if m := a.registry.Machine(name); m != nil {
			if now-m.LastHeartbeat < a.listStaleness() {
				continue
			}
			gone = append(gone, name)
		}
		delete(a.list.firstSeen, name)
	}
	slices.Sort(gone)
	return gone
}

// listStaleness bounds how old the moment is that a list describes.
func (a *Autoscaler) listStaleness() time.Duration {
	return config.Seconds(2 * a.cloudSettings.ListLagSeconds)
}

// listInterval is the time between two readings of the list: half its lag, or as long as reading
// its pages takes within their share of the request rate.
func (a *Autoscaler) listInterval(machines int) time.Duration {
	pages := 1 + machines/protocol.MaxMachinesPerPage
	readSeconds := float64(pages) / (a.cloudSettings.RPS * rateSharePerCallKind)
	return config.Seconds(max(a.cloudSettings.ListLagSeconds/2, readSeconds))
}
