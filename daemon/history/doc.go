// Package history implements the history host: it stores turns and budgets of programs on its
// disk and answers entry hosts.
//
//	entry host -> rpc -> Server -> wal (synced) -> ledger -> reply
//	                      ^
//	platform object <-> Controller (slot map, joining, retirement)
//
// The server makes no placement decisions: it holds the slots that the slot map assigns to it and
// rejects writers whose map is older than the slot's last change. The controller updates the map
// when members join or leave.
package history
