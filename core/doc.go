// Package core is the root of the decision code of pistachioarch.
//
// Every decision is a deterministic state machine: it is given the time and an
// event, changes its own memory, and leaves what has to be done by others in a
// Ready value. No package below core opens a socket or a file, starts a
// goroutine, reads a clock or a global random source. The daemon, the replay
// tool and the tests all drive the same code, so that a failing case is a list
// of events that replays exactly.
//
// The packages, from the bottom up:
//
//   - failure: the typed errors that callers and operators see
//   - ident: program and slot identifiers
//   - chart: the interpreter of the state charts kept in files
//   - decl: what operators declare (services, targets, rules), with validation
//   - journal: records, segments and the group-commit writer
//   - sched: placement, queue order, circuit breakers, retry budgets
//   - host: the composition of the above, one machine per entry host
package core
