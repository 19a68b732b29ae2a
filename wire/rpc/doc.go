// Package rpc carries the calls of entry hosts to history hosts: protobuf
// messages over one yamux stream of one connection, any number under way at a
// time, answered in any order.
//
//	Client.Call -> frame -> yamux stream -> Serve -> Handler -> Reply -> Client.Call
//
// A Client dials again by itself; a call never waits for a connection longer
// than its context allows.
package rpc
