// Package core is the root of the decision logic of pistachioarch.
//
// Each decision is made by a deterministic state machine: it receives the
// current time and an event, updates its in-memory state, and returns the
// actions for its driver in a Ready value. No package below core opens a socket
// or a file, starts a goroutine, or reads a clock or a global random source. The
// daemon, the replay tool and the tests all drive the same code, so a failing
// case is a list of events that replays exactly.
//
// The packages of the entry host's state machine, from the bottom up:
//
//   - failure: typed errors returned to callers and operators
//   - ident: program and slot identifiers
//   - chart: interpreter of state charts that are kept in files
//   - decl: declarations of operators (services, targets, callers, rules) and their validation
//   - journal: records, segments and the group-commit writer
//   - sched: placement, queue order, circuit breakers, retry budgets
//   - host: the state machine of one entry host, composed of the packages above
package core
