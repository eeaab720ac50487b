package protocol

// PeerProtocolVersion is the version of the protocol between controllers. Messages of another version are rejected.
const PeerProtocolVersion = 1

// PeerMessageKind is the kind of a message between controllers.
type PeerMessageKind int

// The kinds of messages between controllers. Each but PeerReply is a request, which a PeerReply with the same ID
// answers.
const (
	// PeerHeartbeat says whom the sender takes for the leader, and whether it reaches the key-value store.
	PeerHeartbeat PeerMessageKind = 1
	// PeerStatusQuery asks what the leader knows of jobs. With a ProbeTarget it is a probe.
	PeerStatusQuery PeerMessageKind = 2
	PeerReply       PeerMessageKind = 3
	// PeerForwardedHeartbeat passes on a worker's heartbeat, from a controller that the worker can reach.
	PeerForwardedHeartbeat PeerMessageKind = 4
	// PeerLiveMachinesQuery asks which of the named machines send heartbeats to the receiver. The reply names those.
	PeerLiveMachinesQuery PeerMessageKind = 5
	// PeerUnchangedHeartbeats names machines whose unchanged heartbeats an owner has answered. The reply names those
	// whose next heartbeat must be forwarded.
	PeerUnchangedHeartbeats PeerMessageKind = 6
)

// PeerMessage is a message between controllers. Its fields are encoded by number in the order in which they are
// declared, and zero values are omitted, so that a heartbeat is small. Declaring them in another order would change the
// bytes on the wire.
type PeerMessage struct {
	Version int             `cbor:"1,keyasint"`
	Kind    PeerMessageKind `cbor:"2,keyasint"`
	// ID pairs a reply with its request.
	ID     uint64 `cbor:"3,keyasint"`
	From   string `cbor:"4,keyasint"`
	Term   uint64 `cbor:"5,keyasint,omitempty"`
	Leader string `cbor:"6,keyasint,omitempty"`
	// StoreReachable says that the sender reaches the key-value store.
	StoreReachable bool `cbor:"7,keyasint,omitempty"`
	// RenewsLeases says that the sender renews workers' leases although there is no leader.
	RenewsLeases bool `cbor:"22,keyasint,omitempty"`

	// JobID and Status are the query for one job and its answer, JobIDs and Statuses those for several.
	JobID    string      `cbor:"8,keyasint,omitempty"`
	Status   *JobStatus  `cbor:"9,keyasint,omitempty"`
	JobIDs   []string    `cbor:"19,keyasint,omitempty"`
	Statuses []JobStatus `cbor:"20,keyasint,omitempty"`

	// Body is a worker's heartbeat or the reply to it, in the encoding of the workers' interface.
	Body []byte `cbor:"10,keyasint,omitempty"`
	// Machines are names of machines.
	Machines []string `cbor:"21,keyasint,omitempty"`

	// The following fields are part of heartbeats and their replies. Controllers of a version without them send an
	// Incarnation of 0 and do not count toward any quorum that rests on cancellation intents.

	// Incarnation tells this process from earlier ones of the same controller.
	Incarnation uint64 `cbor:"11,keyasint,omitempty"`
	// Recovered says that no intent that may still matter can have been lost with an earlier process.
	Recovered bool `cbor:"12,keyasint,omitempty"`
	// Intents are intents of the sender in its order, beginning after the first IntentOffset ones of its incarnation,
	// of which the first ExpiredIntents have expired. MoreIntents says that the list goes on.
	IntentOffset   uint64               `cbor:"13,keyasint,omitempty"`
	ExpiredIntents uint64               `cbor:"18,keyasint,omitempty"`
	Intents        []CancellationIntent `cbor:"14,keyasint,omitempty"`
	MoreIntents    bool                 `cbor:"15,keyasint,omitempty"`
	// AckedIntents is the number of intents of the receiver's AckedIncarnation that the sender holds.
	AckedIncarnation uint64 `cbor:"16,keyasint,omitempty"`
	AckedIntents     uint64 `cbor:"17,keyasint,omitempty"`

	// The following fields are used with failure detection only. Refutations and HealthScore are the sender's own,
	// Opinions its view of the other controllers.
	Refutations uint64        `cbor:"23,keyasint,omitempty"`
	HealthScore int           `cbor:"24,keyasint,omitempty"`
	Opinions    []PeerOpinion `cbor:"25,keyasint,omitempty"`
	// ProbeTarget makes a PeerStatusQuery, which every version answers, a probe: it asks whether the receiver reaches
	// that controller, and TargetReached is the answer. A reply without TargetReached, such as that of a controller
	// without failure detection, says only that the receiver itself is reachable.
	ProbeTarget   string `cbor:"26,keyasint,omitempty"`
	TargetReached *bool  `cbor:"27,keyasint,omitempty"`

	// The following fields are used with shard ownership only. CanOwn says that the sender can own machines.
	// OwnershipEpoch is, in the leader's heartbeats, the epoch in effect, and in what an owner forwards, the owner's.
	CanOwn         bool   `cbor:"29,keyasint,omitempty"`
	OwnershipEpoch uint64 `cbor:"30,keyasint,omitempty"`
	// MachineIncarnations and HeartbeatSequences identify, in PeerUnchangedHeartbeats, the last heartbeat of each of
	// Machines.
	MachineIncarnations []uint64 `cbor:"31,keyasint,omitempty"`
	HeartbeatSequences  []uint64 `cbor:"32,keyasint,omitempty"`

	// FeatureLevel is the sender's feature level, in heartbeats and their replies. Versions without feature levels send
	// none.
	FeatureLevel int `cbor:"28,keyasint,omitempty"`
}

// CancellationIntent says that a user is about to be told that a job is cancelled. AnnouncementID distinguishes several
// intents for the same job.
type CancellationIntent struct {
	JobID          string `cbor:"1,keyasint"`
	AnnouncementID uint64 `cbor:"2,keyasint"`
}

// Limits of one message between controllers.
const (
	MaxIntentsPerMessage  = 256
	MaxMachinesPerMessage = 500
	// maxMachineNameBytes is the limit of all names of machines in a message together, so that it fits a frame.
	maxMachineNameBytes = MaxBodyBytes / 2
)

// SplitMachineNames splits a list of machines into lists that each fit one message.
func SplitMachineNames(names []string) [][]string {
	var lists [][]string
	bytes, first := 0, 0
	for i, name := range names {
		count := i - first
		if count > 0 && (count >= MaxMachinesPerMessage || bytes+len(name) > maxMachineNameBytes) {
			lists = append(lists, names[first:i])
			bytes, first = 0, i
		}
		bytes += len(name)
	}
	if first < len(names) {
		lists = append(lists, names[first:])
	}
	return lists
}
