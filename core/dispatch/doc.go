// Package dispatch decides what an entry host does with a request that is ready to
// be sent: send it to a target now, or turn it away with a time to come back.
//
// Where a request goes is decided by core/balance. This package decides whether:
// when every target of a service has a queue, work that is sent only makes all work
// late. It turns away programs that have not begun, so that those under way end in
// time.
//
// The load pattern that it answers is a flood: three times the usual load for eight
// seconds, more than the engines can do. With the default limit of 1.1 times the places of
// a service's engines, 61 of 140 programs of the worst two seconds end in time, 16 if all
// are sent. Limits of 1.0 and less turn programs away in bursts that could be served,
// limits of 1.5 and more let the flood make all late.
//
// The package holds no requests and reads no clock; the caller passes the time and
// reports what targets say to the Registry.
package dispatch
