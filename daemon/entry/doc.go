// Package entry implements the entry host, which accepts callers' requests and
// forwards each to a target. It keeps no state that must survive a restart.
//
//	caller -> ServeHTTP (handle.go): decode, route, read the body
//	       -> customer.go, confirm.go: authorise the key, check the age of the configuration
//	       -> turn.go: reserve budget, rebuild the prompt   (history hosts)
//	       -> crash_limit.go: give up a request under which targets crashed (history hosts)
//	       -> quota.go: take a token of the customer quota  (history hosts)
//	       -> forward.go: pick a target, send, retry        (core/balance, targetpool)
//	          broken_run.go, run_watch.go, target_fate.go: find out whether a target crashed
//	          broken_run_store.go, announce.go: tell the hosts of later attempts
//	          hedge.go, capacity_wait.go: second sends, wait for full targets
//	       -> plain.go / stream.go: pass the answer to the caller
//	       -> turn.go: settle budget, store the turn        (history hosts)
//
// Independent of single requests:
//
//	view.go, evacuation.go                  follow the platform: configuration, targets, evacuations
//	reachability.go, datacentre_check.go    probe targets that are silent
//	load_exchange.go                        exchange target loads with other entry hosts
//	memory.go, idle.go                      limit what callers may hold
//	state.go                                gauges and a dump for operators
package entry
