// Package emulate holds stand-ins of the outside systems: model engine, store,
// VM list, weight store, rating service and plain service. Each is an HTTP
// server with faults that are set in process or by POST /faults. The service
// models and their limits are described in docs/EMULATORS.md.
package emulate
