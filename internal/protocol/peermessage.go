package protocol

// PeerProtocolVersion is the version of the protocol between controllers. A controller rejects messages of any other
// version.
const PeerProtocolVersion = 1

// PeerMessageKind is the kind of a message between controllers.
type PeerMessageKind int

// Kinds of messages between controllers. All kinds except PeerReply are requests; the response to a request is a
// PeerReply with the same ID.
const (
	// PeerHeartbeat reports which controller the sender regards as the leader, and whether the sender can reach the
	// key-value store.
	PeerHeartbeat PeerMessageKind = 1
	// PeerStatusQuery asks the leader for the status of jobs. If ProbeTarget is set, it is a probe instead.
	PeerStatusQuery PeerMessageKind = 2
	PeerReply       PeerMessageKind = 3
	// PeerForwardedHeartbeat forwards a worker's heartbeat. Its sender is a controller that the worker can reach.
	PeerForwardedHeartbeat PeerMessageKind = 4
	// PeerLiveMachinesQuery asks which of the named machines send heartbeats to the receiver. The reply lists them.
	PeerLiveMachinesQuery PeerMessageKind = 5
	// PeerUnchangedHeartbeats lists machines whose heartbeats reported no change, so that their owner answered them
	// without forwarding them. The reply lists the machines whose next heartbeat must be forwarded.
	PeerUnchangedHeartbeats PeerMessageKind = 6
)

// PeerMessage is a message between controllers. To keep heartbeats small, fields are encoded under integer keys and
// most zero values are omitted. Fields are encoded in the order of their declaration, so reordering the declarations
// would change the bytes on the wire.
type PeerMessage struct {
	Version int             `cbor:"1,keyasint"`
	Kind    PeerMessageKind `cbor:"2,keyasint"`
	// ID matches a reply to its request.
	ID     uint64 `cbor:"3,keyasint"`
	From   string `cbor:"4,keyasint"`
	Term   uint64 `cbor:"5,keyasint,omitempty"`
	Leader string `cbor:"6,keyasint,omitempty"`
	// StoreReachable is set if the sender can reach the key-value store.
	StoreReachable bool `cbor:"7,keyasint,omitempty"`
	// RenewsLeases is set if the sender renews the leases of workers on standby, that is, while there is no leader.
	RenewsLeases bool `cbor:"22,keyasint,omitempty"`

	// JobID and Status are the request and the reply of a status query for one job, JobIDs and Statuses those of a
	// query for several jobs.
	JobID    string      `cbor:"8,keyasint,omitempty"`
	Status   *JobStatus  `cbor:"9,keyasint,omitempty"`
	JobIDs   []string    `cbor:"19,keyasint,omitempty"`
	Statuses []JobStatus `cbor:"20,keyasint,omitempty"`

	// Body is a forwarded worker heartbeat or the reply to it, encoded as MessagePack like on the worker interface.
	Body []byte `cbor:"10,keyasint,omitempty"`
	// Machines lists names of machines.
	Machines []string `cbor:"21,keyasint,omitempty"`

	// The following fields are sent in heartbeats and their replies. Controllers of older versions that do not know
	// them send none, which decodes as Incarnation 0, and do not count toward any quorum that depends on cancellation
	// intents.

	// Incarnation distinguishes the sending process from earlier processes of the same controller.
	Incarnation uint64 `cbor:"11,keyasint,omitempty"`
	// Recovered is set if the sender lacks no intent that is still relevant: the intents that may have been lost with
	// an earlier process of the sender's controller are not relevant any more.
	Recovered bool `cbor:"12,keyasint,omitempty"`
	// Intents is a part of the sender's list of cancellation intents. The list has the intents of the sender's
	// incarnation in their order. IntentOffset is the number of intents before this part, ExpiredIntents is the number
	// of intents at the beginning of the list that have expired, and MoreIntents is set if the list continues after
	// this part.
	IntentOffset   uint64               `cbor:"13,keyasint,omitempty"`
	ExpiredIntents uint64               `cbor:"18,keyasint,omitempty"`
	Intents        []CancellationIntent `cbor:"14,keyasint,omitempty"`
	MoreIntents    bool                 `cbor:"15,keyasint,omitempty"`
	// AckedIntents is the number of intents of the receiver's incarnation AckedIncarnation that the sender has stored.
	AckedIncarnation uint64 `cbor:"16,keyasint,omitempty"`
	AckedIntents     uint64 `cbor:"17,keyasint,omitempty"`

	// The following fields are used only if failure detection is enabled. Refutations and HealthScore describe the
	// sender itself, Opinions its view of the other controllers.
	Refutations uint64        `cbor:"23,keyasint,omitempty"`
	HealthScore int           `cbor:"24,keyasint,omitempty"`
	Opinions    []PeerOpinion `cbor:"25,keyasint,omitempty"`
	// ProbeTarget turns a PeerStatusQuery into a probe: it asks whether the receiver can reach the named controller,
	// and TargetReached in the reply is the result. Probes use this kind because every version replies to it. A reply
	// without TargetReached, such as that of a controller without failure detection, shows only that the receiver of
	// the probe is reachable.
	ProbeTarget   string `cbor:"26,keyasint,omitempty"`
	TargetReached *bool  `cbor:"27,keyasint,omitempty"`

	// The following fields are used only if ownership is enabled. CanOwn is set if the sender can own machines.
	// OwnershipEpoch is the active epoch in heartbeats of the leader, and the owner's epoch in the digests and
	// forwarded heartbeats of an owner.
	CanOwn         bool   `cbor:"29,keyasint,omitempty"`
	OwnershipEpoch uint64 `cbor:"30,keyasint,omitempty"`
	// MachineIncarnations and HeartbeatSequences identify, in PeerUnchangedHeartbeats, the last heartbeat of each
	// machine in Machines.
	MachineIncarnations []uint64 `cbor:"31,keyasint,omitempty"`
	HeartbeatSequences  []uint64 `cbor:"32,keyasint,omitempty"`

	// FeatureLevel is the sender's feature level in heartbeats and their replies. Versions without feature levels omit
	// it.
	FeatureLevel int `cbor:"28,keyasint,omitempty"`
}

// CancellationIntent announces that a user is about to be told that a job is cancelled. AnnouncementID distinguishes
// different intents for the same job.
type CancellationIntent struct {
	JobID          string `cbor:"1,keyasint"`
	AnnouncementID uint64 `cbor:"2,keyasint"`
}

// Limits of a single message between controllers.
const (
	MaxIntentsPerMessage  = 256
	MaxMachinesPerMessage = 500
	// maxMachineNameBytes limits the total length of the machine names in a message, so that the encoded message does
	// not exceed MaxBodyBytes.
	maxMachineNameBytes = MaxBodyBytes / 2
)

// SplitMachineNames splits a list of machine names into lists that each fit into one message.
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
