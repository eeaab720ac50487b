// Package simulation has models of everything that a controller talks to: the key-value store ([Store]), the cloud
// ([Cloud]), workers ([World], [Worker], [Agent]), users ([UserClient]) and the network between them ([Network]). They
// are written from the published protocol alone. Oracles check the rules of the protocol while a simulation runs: World
// for each start and each cancelled task, [AnswerChecker] for each answer to a user, [RecoveryOrderOracle] and
// [LoanOracle] for the failover between zones.
//
// The tests of this package run real controllers against the models in simulated time. Random numbers are drawn by
// purpose, not in sequence, so that runs with the same seed are the same.
package simulation
