// Package rpc implements the calls of entry hosts to history hosts: protobuf
// messages over one yamux stream per connection. Any number of calls may be in
// flight; replies arrive in any order.
//
//	Client.Call -> frame -> yamux stream -> Serve -> Handler -> Reply -> Client.Call
//
// A Client reconnects on its own. A call waits for a connection no longer than its
// context allows.
package rpc
