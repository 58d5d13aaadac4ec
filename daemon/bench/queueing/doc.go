// Package queueing measures admission, retry budget and server choice against a
// stated queueing model of engines with continuous batching. It is a
// discrete-event model within one process: it has no protocols and no network
// beyond a fixed delay, and it drives the real limit.Admission,
// limit.RetryBudget, suspect.Detector and balance.Snapshot.
package queueing
