// Package wire is the root of the protocol packages of pistachioarch: JSON for
// callers, targets, operators and the platform, protobuf frames between hosts, and
// thin clients. It contains no policy; decisions are made by the packages below core.
package wire
