// Package historypb holds the generated code of history.proto: the messages between
// entry hosts and history hosts, and the records of history hosts on disk.
//
// Generate with: protoc --go_out=. --go_opt=paths=source_relative history.proto
package historypb
