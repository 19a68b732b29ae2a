// Package player simulates load patterns against the routing decisions of the entry role,
// on virtual time.
//
// It runs the code of entry hosts: one core/balance.Registry and one
// core/dispatch.Dispatcher for each host. Each sees only its own requests and the load
// reports at the head of answers, unless the policy or the fleet adds other sources: load
// exchange through boards, run records from history hosts, periodic load reports.
//
// The rest is modelled: engines with continuous batching (engine.go), plain targets
// (plain.go), callers with programs of turns, tool calls and sub-agents (callers.go), the
// network and the load balancer in front of the hosts (simulation.go).
//
// A Fleet is read from an INI file, and a Pattern of load and disturbances from another. Runs
// of the same files, policy and seed give identical results.
package player
