// Package loadtest measures the resource usage, message rates and latencies of the controllers at several sizes of a
// deployment.
//
// The controllers run as processes of the built program. Everything else is a model of package simulation: the
// key-value store and the cloud, which enforce the limits of the settings, the users, and thousands of hollow workers.
// A hollow worker, like a hollow node of Kubernetes' kubemark, speaks the real protocol over real sockets but runs no
// tasks. A few more workers run as processes of their own. While the test runs, it checks invariants for every task
// start and every reply; a violation ends the test.
//
// For each size, [Run] measures metrics over several slices of time and then injects faults. If there are enough sizes,
// it fits a line to each metric, from which [Result.WriteCapacity] extrapolates.
package loadtest
