// Package simulation provides models of everything that a controller communicates with: the key-value store ([Store]),
// the cloud ([Cloud]), workers ([World], [Worker], [Agent]), users ([UserClient]) and the network that connects them
// ([Network]). The models are written from the published protocol alone.
//
// Oracles check the rules of the protocol while a simulation runs: [World] checks each task start and that cancelled
// tasks end in time, [AnswerChecker] checks each answer to a user, and [RecoveryOrderOracle] and [LoanOracle] check
// zone failover.
//
// The tests of this package run real controllers against the models in simulated time. A random number depends on the
// seed, the simulated time and a string that names its purpose, not on the order of calls, so that runs with the same
// seed are identical.
package simulation
