// Package protocol defines the messages that a controller exchanges with users, workers, the cloud, the key-value store
// and the other controllers. It encodes, decodes and validates them; it does not send or handle them.
//
// Messages to users, workers, the cloud and the key-value store are MessagePack maps ([Encode], [Decode]); messages
// between controllers are CBOR maps with integer keys ([EncodePeerMessage], [DecodePeerMessage]). A message that is not
// well-formed or fails validation causes a [MalformedError], which matches [ErrMalformed].
//
// # Words on the wire
//
// The published protocol has its own vocabulary. Its words appear only in the struct tags of this package, and in those
// of the records in package storage. Everywhere else the code uses common scheduling terms:
//
//	on the wire            in the code
//	-------------------    -----------------------------------------------------------
//	accelerators           GPUs
//	age_s                  AgeSeconds
//	awaits                 Dependencies
//	bookmark_s             CheckpointIntervalSeconds
//	breed, breeds          machine type: Type, MachineType, MachineTypes
//	crew                   Team
//	data                   Value
//	docket                 Class
//	drop                   DeleteKey
//	due_s                  DeadlineSeconds
//	endpoint               Addr
//	failed                 FailedKeys
//	foreman                Leader
//	full                   CauseNoCapacity
//	gathering              TaskWaiting
//	grants (path)          leases: LeaseRequest, LeaseResult
//	group, daemon          shapes: Gang, Service
//	halted                 CauseStopped
//	hire                   RequestID
//	hourly                 HourlyPrice
//	how_many               Count
//	in_use                 CauseOtherAttempt
//	kept                   CheckpointSaved
//	kit, size_gb           Image, ImageGB
//	label                  Name (of a machine type)
//	leave_s                GraceSeconds
//	ledger                 Revision (of the whole store)
//	lendable               Spot (of a machine), SpotAllowed (of a job)
//	local_gb               CacheGB
//	multi (path)           transaction: Txn, TxnResult
//	name_id                ID (of a job), Name (of a machine)
//	news                   Events (of a watch)
//	no_such                CauseUnknownTask
//	orders                 Commands
//	parish, parishes       Zone, Zones
//	path                   Key
//	peers                  CausePeerLost
//	piece                  TaskName
//	pieces                 Tasks (of a heartbeat), TaskCount (of a job)
//	reckon_s               EstimateSeconds
//	report (path)          WorkerHeartbeat
//	rig, rigs              Machine, Machines
//	same_place             SameZone
//	set                    PutKey
//	shift                  Incarnation (of a worker)
//	spot_price             HourlySpotPrice
//	stamp                  Revision (of a key)
//	standing               State
//	startup_s              BootSeconds
//	stow_s                 CheckpointSaveSeconds
//	tally                  Sequence
//	tenancy                LeaseID
//	truncated              More
//	try                    Attempt
//	urgency                Priority
//	vcpus                  CPUs
//	warning_s              InterruptionNoticeSeconds
//	warrant                FencingToken
//	withdraw (path)        cancellation
//	writes                 Then (the operations of a transaction)
package protocol
