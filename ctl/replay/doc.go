// Package replay plays recorded traces on virtual time against stated outcomes.
//
// It drives the very decisions that the daemon runs: one core host.Host for each
// host of the trace. Around them stand small fakes: an object store for the
// platform, links with fixed delays, callers that follow the trace, and a model
// of an engine (engine.go) whose parameters come from the trace's header. All is
// one queue of events, so a replay with the same seed is the same to the bit.
package replay
