package featurelevel

// Event is an input to Gate.Step.
type Event interface{ event() }

// Events that Step accepts.
type (
	// Tick reports that time has passed.
	Tick struct{}

	// RecordsListed reports the outcome of ListRecords: the recorded level of each controller, and the final level.
	// Failed is true if the store did not respond.
	RecordsListed struct {
		Controllers map[string]Record
		Final       Level
		Failed      bool
	}

	// AnnounceDone reports that an Announce has ended, successfully or not.
	AnnounceDone struct{}

	// PeerHeartbeat reports the level that a peer stated in its latest heartbeat.
	PeerHeartbeat struct {
		Controller string
		Level      Level
	}

	// Leadership reports whether this controller is the leader and has read the records.
	Leadership struct{ Leading bool }

	// Finalised reports that the leader in this process has made a level final.
	Finalised struct{ Level Level }
)

// Record is a controller's level as recorded in the store.
type Record struct {
	Level    Level
	Revision uint64 // 0 if there is no record
}

// Effect is an output of Gate.Step.
type Effect interface{ effect() }

// Effects that Step returns.
type (
	// ListRecords requests the records, to be reported as exactly one RecordsListed.
	ListRecords struct{}

	// Announce requests that this controller's level be recorded, provided that its record still has the given
	// revision. The caller must respond with exactly one AnnounceDone.
	Announce struct {
		Level    Level
		Revision uint64
	}

	// Finalise requests that the leader in this process make a level final.
	Finalise struct{ Level Level }

	// Activate reports that a level is final, so its features may be used from now on.
	Activate struct{ Level Level }
)

func (Tick) event()          {}
func (RecordsListed) event() {}
func (AnnounceDone) event()  {}
func (PeerHeartbeat) event() {}
func (Leadership) event()    {}
func (Finalised) event()     {}

func (ListRecords) effect() {}
func (Announce) effect()    {}
func (Finalise) effect()    {}
func (Activate) effect()    {}
