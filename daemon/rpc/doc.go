// Package rpc contains the protobuf messages and Twirp services that cactusknot processes
// use between themselves.
package rpc
