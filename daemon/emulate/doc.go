// Package emulate provides emulators of the external systems: the model engine,
// the store, the VM list, the weight store, the rating service and a plain
// service. Each emulator is an HTTP server that supports fault injection, in
// process or through POST /faults. docs/EMULATORS.md describes the service models
// and their limits.
package emulate
