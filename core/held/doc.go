// Package held accounts for the memory that an entry host holds for its requests, and
// decides whether a request may hold more.
//
// Bytes that were read from a caller or a target and not yet written to the other side stay
// in the host's memory. Callers and targets that send or read slowly make them pile up: in a
// process that limits only the number of requests, a few hundred slow callers, or one burst
// of long prompts, exhaust the memory and end all its other requests too.
//
// Each request has a RequestAccount, to which its bytes are charged by Kind. A request is
// charged at least MinRequestBytes, within which ordinary requests stay, so that ordinary
// load is limited only by the number of requests; bytes beyond the minimum are charged as
// they are.
//
//	          Admit                Reserve                Release, Close
//	caller ----------> request ----------------> request ----------------> 0
//	   |               account                   holds more
//	   | rejected         |
//	   v                  | false: the bound is reached
//	 not run              v
//	               wait for a Release, while SelectEvictions chooses slow callers
//	               to end; then rejected (not sent yet) or aborted (sent)
//
// There are two bounds. New requests, and bytes read from callers, stay under the request
// bound; answers may go up to the higher answer bound. So a full host continues to deliver
// answers that engines have generated, which frees the bytes of their requests.
//
// When a bound is reached, SelectEvictions chooses the callers to end, no more than the
// missing bytes require. It considers only callers that have made no progress for the stall
// timeout, in descending order of bytes times stalled time. A caller that reads slowly but
// steadily is never chosen.
//
// Invariants:
//
//   - the bytes of a kind are never below zero, and zero after Close;
//   - the charged bytes never exceed the answer bound, and exceed the request bound only by
//     answers;
//   - a closed request account charges nothing, whichever method is called.
package held
