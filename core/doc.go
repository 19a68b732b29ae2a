// Package core is the root of the decision logic of pistachioarch.
//
// Each decision is made by deterministic code: it receives the current time and
// an event, updates its in-memory state, and returns what its driver has to do.
// No package below core opens a socket or a file, starts a goroutine, or reads a
// clock or a global random source. The daemon, the replay tool and the tests all
// drive the same code, so a failing case is a list of events that replays
// exactly.
//
// The packages of the state machine in core/host, which daemon/node drives and
// which returns its actions in a Ready value, from the bottom up:
//
//   - failure: typed errors returned to callers and operators
//   - ident: program and slot identifiers
//   - chart: interpreter of state charts that are kept in files
//   - decl: declarations of operators (services, targets, callers, rules) and their validation
//   - journal: records, segments and the group-commit writer
//   - sched: placement, queue order, circuit breakers, retry budgets
//   - host: the state machine of one entry host, composed of the packages above
//
// The packages that the entry hosts of daemon/entry and the history hosts of
// daemon/history use:
//
//   - request: what requests and answers state about themselves
//   - routing: routes, services and customers that operators declare
//   - subset: which part of a large fleet each host knows
//   - balance, dispatch: the target of a request, and whether it is sent now
//   - loads: exchange of observed target loads between the hosts of a data centre
//   - hedge: second sends of calls without an answer
//   - quota: request limits per customer over all hosts
//   - held: bounds on the memory that requests hold
//   - placement: assignment of slots to history hosts
//   - ledger: records of budgets and turns that a history host stores
//
// historypb and peerpb hold the messages between hosts and the stored records.
package core
