// Package wire holds the protocols of pistachioarch: JSON for callers, targets,
// operators and the platform, protobuf frames between hosts, and thin clients.
// It decides nothing; decisions are made below core.
package wire
