// Package loads lets the hosts of a data centre share what each of them observes of the
// targets: the number of requests in flight there, the load that targets report, and
// failures.
//
// It addresses deployments with many hosts and many targets, in which a host alone receives a
// load report from a target only once in several seconds, acts on reports that are out of date,
// and discovers each failing target by a failed request of its own.
//
//	entry hosts --HostReport--> Board --Reply--> entry hosts
//
// Boards of different data centres do not exchange data: hosts prefer targets of their own
// data centre, and judge those of other data centres by their load reports alone.
//
// A Reporter is the host's side: it sends what changed and applies the replies. A Board merges
// the reports of one data centre. Its state is in memory only: when another board takes over,
// all hosts report everything again.
//
// Messages may be lost, delayed, duplicated or reordered:
//
//   - Target stats hold current counts, not differences, and are sent until acknowledged.
//   - One report is in flight at a time. A board skips reports that it has merged, a reporter
//     ignores every reply but the one to its last report.
//   - A session comprises the reports of one reporter to one board instance. A board that does
//     not know the session requests a new one, in which all target stats are sent again and
//     counts start at zero.
//
// Invariants:
//
//   - without loss and changes, each host learns the sum of the requests that all other hosts
//     have in flight at a target;
//   - the requests of a silent reporter count for ReporterTimeout and no longer;
//   - a target is identified by its incarnation: nothing known of one incarnation is
//     attributed to the next.
//
// Targets are identified by a hash of their ID and start time, so that hosts and boards need
// not agree on names for them. Hosts leave out targets whose hashes collide.
package loads
