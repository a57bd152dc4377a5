// Package strictjson decodes JSON strictly: unknown fields, duplicate fields and
// values of the wrong type are findings. One call returns all findings of a
// document with their positions.
//
// The package does no I/O.
package strictjson
