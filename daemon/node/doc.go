// Package node runs one entry host: it drives a host.Host and does its I/O.
//
// All events go through Node.step, one at a time, under one mutex; effects are
// started under the same mutex, so that messages to a peer keep their order, and
// carried out by goroutines that end in another event.
//
// Everything outside is reached through Options: the network, the platform, the
// targets. Tests give in-memory ones and run whole hosts on virtual time.
package node
