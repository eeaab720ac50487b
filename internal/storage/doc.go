// Package storage is the durable side of a controller: a client of the key-value store (the "state service" of the
// settings) whose requests are paid from rate budgets, and the records that the controllers keep in the store.
//
// # Records
//
// Keys, tags and values are what versions in production wrote; they never change. This table maps the stored words to
// the terms of the code. Values are MessagePack maps unless stated otherwise.
//
//	key                        record
//	-----------------------    ---------------------------------------------------------------
//	leader                     LeaderRecord, attached to the leader's lease
//	term                       TermRecord; its revision fences every write of a leader
//	types                      protocol.MachineTypes, the cloud's price list
//	live/JOB                   LiveJobRecord, an accepted job
//	ended/JOB                  EndedJobRecord, a job's final state
//	place/JOB/NNNN             PlacementPage, original layout
//	place/JOB/wTASKS.NNNN      PlacementPage, compact layout with TASKS tasks per page
//	warm/NNNN                  ImageHintRecord, machines with the images that they have cached
//	feature/node/CONTROLLER    FeatureLevelRecord, the highest feature level a controller has supported
//	ownership                  OwnershipRecord, which controllers own shards of the machines
//	zone-return/NNNN           ZoneFailoverRecord, the states of zones and the open loans of capacity
//
// The tags of the fields:
//
//	record               tag          field
//	------------------   ----------   --------------------------------------------------------
//	LeaderRecord         node         Controller
//	TermRecord           node         Controller
//	                     claim        ClaimID
//	                     n, level     Term and FeatureLevel, from the first feature level on
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
// A record that doesn't have its form is reported as a [MalformedRecordError], one that a later version wrote as a
// [NewerFormatError].
//
// # Requests
//
// The errors of a request say what may have happened to it: [ErrUnavailable] that it wasn't executed and may be
// repeated, [ErrOutcomeUnknown] that it may have been executed, a [RejectedError] that it will never be.
package storage
