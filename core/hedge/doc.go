// Package hedge decides when a call without an answer is sent a second time.
//
// It addresses targets that stall briefly while others work normally: a call that takes
// longer than most calls of its kind is likely to wait at such a target, and another target
// completes it sooner. Second sends pay off only while they are rare, and must not multiply
// when all targets are slow. A Hedger therefore keeps
//
//   - for each kind of call, the latencies of the last calls, and a quantile of them as the
//     delay before the second send (Delay);
//   - for each service, a token bucket that earns a fraction of a token with each answer
//     (RecordAnswer) and pays one token for each second send (TakeToken).
//
// Invariants:
//
//   - over any n successive answers of a service, at most BudgetRatio*n + Burst second sends;
//   - no second send of a kind before enough calls of that kind were recorded.
//
// The code that uses the package must hedge only calls that may run twice, and use the answer
// of only one of the two sends. The state belongs to one host and is lost when it stops.
package hedge
