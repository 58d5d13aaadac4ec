// Package e2e holds end-to-end tests: whole deployments of separate processes
// with faults injected into processes, backend servers and the platform.
package e2e
