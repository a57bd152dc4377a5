// Command cases plays the script cases of the review: it starts the system's own
// processes between stand-ins of clients, workers and the platform's store.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// stage is what every case needs.
type stage struct {
	rec     *record
	folder  string
	program string
	trouble bool
	store   *store
	all     []*instance
}

var cases = map[string]func(*stage) (broken bool, err error){
	"pipelined-stop":      pipelinedStop,
	"prompt-parts-memory": promptPartsMemory,
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: cases NAME PROGRAM RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

func play(name, program, recordPath string) int {
	rec, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	run, known := cases[name]
	if !known {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return exitNotRun
	}
	folder := os.Getenv("KEEP")
	if folder == "" {
		if folder, err = os.MkdirTemp("", "review-3-"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitNotRun
		}
		defer func() { _ = os.RemoveAll(folder) }()
	}
	absolute, err := filepath.Abs(program)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	s := &stage{rec: rec, folder: folder, program: absolute, trouble: os.Getenv("TROUBLE") != "0"}
	rec.add("case", "%s, disruption: %t", name, s.trouble)
	if s.store, err = startStore(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() {
		for _, i := range s.all {
			i.end()
		}
	}()
	broken, err := run(s)
	if err != nil {
		rec.add("result", "the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	}
	if broken {
		rec.add("result", "the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	rec.add("result", "the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
