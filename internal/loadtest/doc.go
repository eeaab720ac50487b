// Package loadtest measures what the built controllers cost at several sizes of a deployment.
//
// The controllers run as processes of the real program. Everything around them is a model of the
// package simulation: the key-value store and the cloud, with the limits of the settings, the
// users, and thousands of hollow workers. Hollow workers speak the real protocol over real sockets
// but run no tasks; some workers beside them are processes of their own. Meanwhile invariants are
// checked for every start and every reply, and a violation ends the test.
//
// For each size, Run measures figures over slices of time, then injects faults. From enough sizes it
// fits slopes, from which Result.WriteCapacity extrapolates.
package loadtest
