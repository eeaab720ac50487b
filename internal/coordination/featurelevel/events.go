package featurelevel

// Event is an input of Step.
type Event interface{ event() }

// Events.
type (
	// Tick lets time pass.
	Tick struct{}

	// RecordsListed is the outcome of ListRecords: the recorded levels by controller, and the final
	// level. Failed says that the store did not answer.
	RecordsListed struct {
		Controllers map[string]Record
		Final       Level
		Failed      bool
	}

	// AnnounceDone says that an Announce has ended, whether it succeeded or not.
	AnnounceDone struct{}

	// PeerHeartbeat is the level that a peer states in its heartbeat.
	PeerHeartbeat struct {
		Controller string
		Level      Level
	}

	// Leadership says whether this controller leads and has read the records.
	Leadership struct{ Leading bool }

	// Finalised says that the leader of this process has made a level final.
	Finalised struct{ Level Level }
)

// Record is a controller's level as the store holds it.
type Record struct {
	Level    Level
	Revision uint64 // 0: there is no record
}

// Effect is an output of Step.
type Effect interface{ effect() }

// Effects.
type (
	// ListRecords asks for the records, as exactly one RecordsListed.
	ListRecords struct{}

	// Announce asks to record this controller's level if its record still has the revision. The
	// caller must answer with exactly one AnnounceDone.
	Announce struct {
		Level    Level
		Revision uint64
	}

	// Finalise asks the leader of this process to make a level final.
	Finalise struct{ Level Level }

	// Activate says that a level is final, so its features may be used.
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
