// Package fleet joins what one instance knows: the tables in force, the live
// instances, the endpoints' states and who owns which worker.
//
// A Fleet is safe for concurrent use.
package fleet
