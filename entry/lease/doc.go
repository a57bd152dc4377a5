// Package lease runs the ownership machine of one instance: it feeds it time,
// the list and peers' messages, and carries its actions out.
package lease
