// Package coord is the root of a library of coordination parts for serving very
// many LoRA adapters on a shared fleet.
//
// Each package below it is one part: a state machine that takes typed events
// with the time since start and returns typed actions. None does I/O, reads a
// clock or starts a goroutine; whoever embeds a part does that, and may drive it
// with virtual time. Parts are not safe for concurrent use unless they say so.
package coord
