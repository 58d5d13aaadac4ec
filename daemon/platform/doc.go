// Package platform implements clients for the services of the platform: the
// key-value store, the VM list, the weight store and the rating service. Every call
// takes a context, limits the size of the response and does not follow redirects.
package platform
