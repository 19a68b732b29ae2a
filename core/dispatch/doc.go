// Package dispatch decides what an entry host does with a request that is ready to be sent: send
// it to a target now, or reject it with a retry delay.
//
// Package core/balance decides where a request goes; this package decides whether it goes. When
// every target of a service has a queue, sending more work only delays all work. So programs
// that have not started are rejected, and those that have started complete in time.
//
// The limit is for overload: a few seconds with more requests than the engines can serve. A
// limit below the capacity of a service's engines rejects programs in bursts that could be
// served; a limit far above it lets overload delay all programs.
//
// The package holds no requests and reads no clock; the code that uses it passes the time and
// reports the load of targets to the balance.Registry.
package dispatch
