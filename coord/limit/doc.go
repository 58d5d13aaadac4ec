// Package limit bounds the work that processes accept: admission to one backend
// server with a cold-start ramp (Admission), fair admission of workspaces to a
// router (Fair), a budget for retries (RetryBudget) and byte budgets for slow
// readers (Buffers). Nothing here opens connections or reads settings; clock,
// random source and invariant checker are passed in.
package limit
