// Package queueing measures admission control, the retry budget and server
// selection with a discrete-event simulation of engines with continuous
// batching. The simulation runs in one process without protocols; the network is
// a fixed delay. It uses the production code of limit.Admission,
// limit.RetryBudget, failuredetector.Detector and balance.Snapshot.
package queueing
