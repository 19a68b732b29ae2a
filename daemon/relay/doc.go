// Package relay lets a few history hosts read the platform's objects on behalf of all
// hosts, so that the number of calls to the platform does not grow with the number of hosts.
//
//	platform --watch--> first relay --rpc--> other relays --rpc--> all other hosts
//
// The relays are the first live history hosts by ID, one more than the number that may be lost
// at once. The first relay follows the platform. Each of the others follows the relays before
// it, and the platform itself while they fail. Every host is therefore at most three steps away
// from the platform, and a lost relay is replaced by one that has followed all along. Hosts call
// only relays with lower IDs than their own, so no relay follows itself.
//
// With more than placement.MaxProbeAllMembers history hosts, each data centre has relays of its
// own. The first member of a data centre follows the first relays of all, and the other members
// follow each other in a tree; see placement.Map.Upstream.
//
//	platform --> first relay --> first member of each data centre --> members --> entry hosts
//
// For kinds that hosts hold completely, a change of a long object is sent as a delta against the
// previous version, so that what each host receives for a change of the slot map does not grow
// with the number of members (delta.go).
//
// For kinds with groups (targets), an entry host holds a subset; see core/subset. Relays send it
// no other objects (subset.go, query.go). It applies the same rule to what it reads directly
// from the platform (hostsubset.go).
//
// A Server follows a kind of objects only while the kind is requested. It serves its view only
// while the view is current: confirmed by its source within one watch. While its first list is
// loading it replies STATUS_LIST_PENDING, and hosts that have no list either wait for it.
//
// A Source is an objects.Reader. It calls a relay, or the platform itself while no relay
// answers. While relays answer that the platform is unavailable, it calls the platform rarely.
// After a failure it polls whom it calls next before it watches again: a watch would hide for its
// whole wait that no reply will come, and changes must reach all hosts in time.
//
// Invariant: a Source never returns a list older than a revision that it has
// returned before.
package relay
