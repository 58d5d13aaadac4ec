// Package limit bounds the work that a process accepts:
//
//   - Admission limits the requests and tokens on one backend server and ramps
//     the load up after a cold start.
//   - FairLimiter shares the capacity of a router between workspaces by weight.
//   - RetryBudget limits retries to a fraction of the first attempts.
//   - BufferPool bounds the memory that streams to slow readers use.
//
// The package opens no connections and reads no settings. The clock, the random
// source and the invariant checker are passed in.
package limit
