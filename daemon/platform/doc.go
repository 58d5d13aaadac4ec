// Package platform holds the clients of the platform's services: the key-value
// store, the list of VMs, the weight store and the rating service. Every call
// takes a context, bounds the response that it reads and follows no redirect.
package platform
