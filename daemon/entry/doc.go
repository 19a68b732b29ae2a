// Package entry is the role of an entry host: it takes callers' requests and
// sends each to a target. It keeps nothing that must outlive it.
//
//	caller -> ServeHTTP (handle.go): decode, route, read the body
//	       -> customer.go, confirm.go: whose key, is the configuration new enough
//	       -> turn.go: reserve budget, rebuild the prompt   (history hosts)
//	       -> quota.go: a token of the customer's quota     (history hosts)
//	       -> forward.go: pick a target, send, retry        (core/balance, targetpool)
//	       -> plain.go / stream.go: the answer to the caller
//	       -> turn.go: settle budget, keep the turn         (history hosts)
//
// view.go holds what the platform says: configuration and targets.
package entry
