// Package coord is the root of a library of coordination components for serving
// very many LoRA adapters on a shared fleet.
//
// Each package below it is one component: a state machine that takes typed
// events with the time since its start and returns typed actions. None does I/O,
// reads a clock or starts a goroutine; the program that embeds a component does
// that, and may drive it with virtual time. Components are not safe for
// concurrent use unless they say so.
package coord
