// Package history is the role of a history host: it keeps turns and budgets of
// programs on its disk and answers entry hosts.
//
//	entry host -> rpc -> Server -> wal (synced) -> ledger -> reply
//	                      ^
//	platform object <-> Keeper (slot map, joining, retirement)
//
// The server decides nothing about placement: it holds what the slot map gives
// it and refuses writers whose map is older than a slot's last change. The keeper
// changes the map when members come and go.
package history
