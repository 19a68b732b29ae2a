// Package player plays load patterns against the decisions of the entry role, on
// virtual time.
//
// It drives the very code that entry hosts run: one core/balance.Registry and one
// core/dispatch.Dispatcher for each host, which see only their own requests and
// what targets say of their load at the head of an answer. Around them stand
// models: engines that batch (engine.go), plain targets (plain.go), callers with
// programs of turns, tools and sub-agents (callers.go), and the balancer in front of
// the hosts (world.go). A Fleet is read from an INI file, a Pattern of load and
// trouble from another; a run with the same files and seed is the same to the bit.
package player
