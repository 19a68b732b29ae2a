// Package peerpb holds the generated code of peer.proto: the messages between entry
// hosts and the records of the journal. `make generate` regenerates it.
package peerpb
