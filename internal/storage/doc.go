// Package storage provides durable storage to the controllers: a client of the key-value store (the "state service" in
// the settings), which limits the rate of its requests by purpose, and the records that the controllers keep in the
// store.
//
// # Records
//
// The keys, tags and values are compatible with the versions in production and must not change. The following tables
// map the stored names to those in the code. Values are MessagePack maps unless stated otherwise.
//
//	key                        record
//	-----------------------    ---------------------------------------------------------------
//	leader                     LeaderRecord, attached to the leader's lease
//	term                       TermRecord; every write of a leader is fenced by its revision
//	types                      protocol.MachineTypes, the cloud's price list
//	live/JOB                   LiveJobRecord, an accepted job
//	ended/JOB                  EndedJobRecord, a job's final state
//	place/JOB/NNNN             PlacementPage, original layout
//	place/JOB/wTASKS.NNNN      PlacementPage, compact layout with TASKS tasks per page
//	warm/NNNN                  ImageHintRecord, the images that machines have cached
//	feature/node/CONTROLLER    FeatureLevelRecord, the highest feature level that a controller has supported
//	ownership                  OwnershipRecord, the controllers that own shards of the machines
//	zone-return/NNNN           ZoneFailoverRecord, the states of zones and the open loans of capacity
//
// The tags of the fields, except tags that are the name of the field in lower case:
//
//	record               tag          field
//	------------------   ----------   --------------------------------------------------------
//	LeaderRecord         node         Controller
//	TermRecord           node         Controller
//	                     claim        ClaimID
//	                     n, level     Term and FeatureLevel, if the feature level is at least 1
//	                     w            WriteName
//	LiveJobRecord        at           AcceptedAtMS
//	EndedJobRecord       end          State
//	                     done         DoneTasks
//	                     need         CancelledDependency
//	                     w            WriteName
//	PlacementPage        w            WriteName
//	                     n            HighestAttempt
//	                     d            DoneRanges
//	                     z            Zones
//	                     p            Placements (original layout): task, machine, incarnation, attempt, zone
//	                     h            Placements (compact layout): machine, zone, incarnation, [task, attempt]...
//	                     t            Team
//	                     c, g, m      CPUs, GPUs, MemoryGB
//	ImageHintRecord      i, s         Images, SizesGB
//	                     m            Machines: name, indices of images
//	                     a            Arrivals: class, jobs, mean tasks of a job
//	OwnershipRecord      v            Format
//	                     members      Members: controller, incarnation, refutations
//	ZoneFailoverRecord   v            Format
//	                     w            WriteName
//	                     z            Zones: name, state, since, flaps
//	                     l            Loans
//
// A record that cannot be decoded or is invalid is reported as a [MalformedRecordError], and one that was written in a
// newer format as a [NewerFormatError].
//
// # Requests
//
// The error of a request indicates whether the request was executed. After [ErrUnavailable] it was not, and may be
// retried; after [ErrOutcomeUnknown] it may have been; after a [RejectedError] it was not, and retrying will not
// succeed.
package storage
