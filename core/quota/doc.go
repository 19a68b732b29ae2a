// Package quota limits the requests of each customer across all hosts.
//
// A customer's quota is split into equal, fixed parts, one for each member that holds the
// customer's slot. Each member keeps its part as a token bucket (Buckets) and grants a
// token for each request. An entry host asks one member after the other (MemberSelector)
// until one grants a token, and rejects the request only when all of them have refused.
//
//	entry host --TokenRequest--> nearest member --no token--> next member ... --> rejected
//
// Members do not communicate with each other: a member that is cut off, stopped or restarted
// grants its own part and no more, whichever host asks.
//
// Invariants, for a quota of r requests a second and bursts of b, in n parts:
//
//   - in any window of w seconds, members grant at most r*w + max(b, n) tokens;
//   - a member that starts, or takes over a slot, begins without tokens, so that tokens which
//     it or the previous member granted earlier are not granted again.
//
// The cost of this design: while a member is unreachable, its part is unavailable.
package quota
