// Package relay lets a few history hosts follow the platform for all entry hosts,
// so that the calls to the platform do not grow with the number of entry hosts.
//
//	platform --watch--> Server (history host) --rpc--> Source (entry host) --> objects.Follow
//
// A Server follows a kind of objects only while it is asked for it. It answers
// only while its own view is sound: confirmed by the platform within one watch.
// A Source is an objects.Reader. It asks a relay, and the platform itself while
// no relay answers.
//
// Invariant: a Source never returns a list older than a revision that it has
// returned before.
package relay
