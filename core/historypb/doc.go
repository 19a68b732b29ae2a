// Package historypb holds the generated messages of history.proto: what entry
// hosts and history hosts say to each other, and the records on disk.
//
// Generate with: protoc --go_out=. --go_opt=paths=source_relative history.proto
package historypb
