// Package rpc holds the protobuf messages and the generated Twirp services that
// cactusknot processes use between themselves.
package rpc
