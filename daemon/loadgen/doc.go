// Package loadgen sends an open-loop load to routers or engines. Requests start
// at the times of a seeded Poisson process, whether or not earlier ones have been
// answered, and latency counts from the intended start, so that a slow system
// does not slow down its own measurement (coordinated omission).
package loadgen
