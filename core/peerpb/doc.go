// Package peerpb holds the generated messages between hosts and the records of
// the journal. peer.proto is the source; `make generate` renews the code.
package peerpb
