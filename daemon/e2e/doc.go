// Package e2e contains the end-to-end tests. They run complete deployments of
// separate processes and inject faults into the processes, the backend servers and
// the emulated platform.
package e2e
