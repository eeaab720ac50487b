package autoscaler

import (
	"slices"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/protocol"
)

// machineList holds what the cloud's machine lists have shown. The list is eventually consistent: it lags, and a later
// response may describe an earlier state than the one before.
type machineList struct {
	requestInFlight bool
	lastRequest     time.Duration
	firstCompleteAt time.Duration            // arrival of the first complete list; 0 if there is none yet
	firstSeen       map[string]time.Duration // when each machine first appeared in a list
	// releasedAt is the time at which machines were released. Entries are kept for a while, so that stale lists and
	// delayed heartbeats do not add a released machine to the registry again.
	releasedAt map[string]time.Duration
}

// releaseRetentionFactor is the time for which released machines are remembered, as a multiple of the time that a
// cancellation may take. Messages may be delayed by minutes. If one arrives even later, it adds the machine again,
// which is then unreachable and is released once more.
const releaseRetentionFactor = 20

// HasMachineList reports whether a complete list has arrived in this term. Before that, the autoscaler does not know
// which machines exist.
func (a *Autoscaler) HasMachineList() bool { return a.list.firstCompleteAt > 0 }

// RecentlyReleased reports whether the machine was released recently. Callers must ignore messages from such a machine.
func (a *Autoscaler) RecentlyReleased(machine string) bool {
	_, ok := a.list.releasedAt[machine]
	return ok
}

// HandleMachineList adds the machines of a complete list, requested at the given time, to the registry. It returns the
// machines that the list proves to be terminated, sorted by name. The caller must remove them from the registry.
func (a *Autoscaler) HandleMachineList(
	now, requestedAt time.Duration,
	list []protocol.ListedMachine,
) (terminated []string) {
	a.list.requestInFlight = false
	listed := make(map[string]bool, len(list))
	for i := range list {
		listed[list[i].Name] = true
		a.addListed(now, &list[i])
	}
	terminated = a.findTerminated(now, requestedAt, listed)
	if a.list.firstCompleteAt == 0 {
		a.list.firstCompleteAt = now
	}
	return terminated
}

// HandleMachineListFailure records that a list could not be read. A later Plan requests it again.
func (a *Autoscaler) HandleMachineListFailure() { a.list.requestInFlight = false }

// addListed updates the registry with one entry of a list.
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
		m.RequestedAt = now - config.Seconds(l.AgeSeconds)
	}
	if !m.Registered {
		m.Addr, m.Type, m.Zone, m.Spot = l.Addr, l.Type, l.Zone, l.Spot
	}
	if l.State == protocol.MachineFailed {
		m.MarkTerminating()
	}
}

// findTerminated returns the machines that are missing from a list and proven to be terminated. If a list was requested
// more than twice the list's lag after a machine first appeared, it describes a later state than the list in which the
// machine appeared, so a machine missing from it has been terminated for good. A machine that still sends heartbeats
// contradicts the list and is kept.
func (a *Autoscaler) findTerminated(
	now, requestedAt time.Duration,
	listed map[string]bool,
) (terminated []string) {
	for name, firstSeen := range a.list.firstSeen {
		if listed[name] || requestedAt <= firstSeen+a.listStaleness() {
			continue
		}
		if m := a.registry.Machine(name); m != nil {
			if now-m.LastHeartbeat < a.listStaleness() {
				continue
			}
			terminated = append(terminated, name)
		}
		delete(a.list.firstSeen, name)
	}
	slices.Sort(terminated)
	return terminated
}

// listStaleness returns an upper bound on the age of the state that a list describes.
func (a *Autoscaler) listStaleness() time.Duration {
	return config.Seconds(2 * a.cloudSettings.ListLagSeconds)
}

// listInterval returns the time between two reads of the list: half the list's lag, or longer if reading all pages
// within the rate share of these calls takes longer.
func (a *Autoscaler) listInterval(machines int) time.Duration {
	pages := 1 + machines/protocol.MaxMachinesPerPage
	readSeconds := float64(pages) / (a.cloudSettings.RPS * rateSharePerCallKind)
	return config.Seconds(max(a.cloudSettings.ListLagSeconds/2, readSeconds))
}
