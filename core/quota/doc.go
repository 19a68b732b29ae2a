// Package quota bounds the requests of each customer over all hosts together.
//
// A customer's quota is split into equal, fixed parts, one for each member that keeps the
// customer's slot. Each member holds its part as a token bucket (Buckets) and grants a
// token for each request; an entry host asks one member after the other (Order) until one
// grants, and turns the request away only when all have refused.
//
//	entry host --take--> nearest member --no token--> next member ... --> refused
//
// No member needs to hear of another: a member that is cut off, stopped or started anew
// grants its own part and no more, whoever asks.
//
// Invariants, for a quota of r requests a second and bursts of b, in n parts:
//
//   - in any span of w seconds, members grant at most r*w + max(b, n) tokens;
//   - a member that starts, or takes a slot over, begins without tokens, so that what it
//     granted before, or what the member before it granted, is not granted again.
//
// The price: while a member is out of reach its part is lost.
package quota
