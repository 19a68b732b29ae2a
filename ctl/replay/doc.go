// Package replay runs traces of agent programs on virtual time and checks the results
// against expected outcomes.
//
// It runs the same decision code as the daemon: one host.Host (core/host) for each
// host of the trace. Everything else is simulated: an object store in place of the
// platform, links with fixed delays, callers that follow the trace, and a model of an
// engine (engine.go) with the parameters of the trace's header. All events run from one
// queue, so two replays of a trace with the same seed have identical results.
package replay
