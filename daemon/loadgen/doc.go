// Package loadgen generates open-loop load on routers or engines. Requests start at
// the times of a seeded Poisson process, whether or not earlier ones have completed.
// Latency is measured from the intended start, which avoids coordinated omission: a
// slow system must not delay the requests that measure it.
package loadgen
