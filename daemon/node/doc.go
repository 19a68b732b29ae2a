// Package node runs one entry host: it drives the state machine, a host.Host, and
// performs its I/O.
//
// All events pass through Node.step, one at a time, under one mutex. Effects are
// started under the same mutex, so that messages to a peer keep their order, and
// performed by goroutines that end with another event.
//
// The network, and through it the platform and the targets, is reached through
// Options. Tests pass in-memory implementations and run whole hosts on virtual time.
package node
