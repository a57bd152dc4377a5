// Command reviewkit plays the scripts of the review: it starts the project's daemon as
// separate processes between stand-ins of the platform, its workers and its clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario plays one case. An error means that the case could not run.
type scenario func(root string, r *record, trouble bool) error

var scenarios = map[string]scenario{"holders": playHolders, "reborn": playReborn, "rolling": playRolling}

// longest is the limit of one run.
const longest = 115 * time.Second

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Println("usage: reviewkit SCENARIO DIRECTORY")
		os.Exit(exitNotRun)
	}
	os.Exit(play(scenarios[os.Args[1]], os.Args[2]))
}

func play(s scenario, dir string) int {
	dir, err := filepath.Abs(dir)
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	r, err := newRecord(dir)
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer r.close()
	trouble := os.Getenv("TROUBLE") != "0"
	r.line("begin trouble=%t", trouble)
	done := make(chan error, 1)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() { done <- s(filepath.Dir(filepath.Dir(dir)), r, trouble) }()
	select {
	case err = <-done:
	case <-stop:
		err = fmt.Errorf("interrupted")
	case <-time.After(longest):
		err = fmt.Errorf("not done after %s", longest)
	}
	endAll()
	if err != nil {
		r.line("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return exitNotRun
	}
	if r.failed > 0 {
		r.line("broken %d times", r.failed)
		fmt.Println("broken", r.failed, "times")
		return exitBroken
	}
	r.line("held")
	fmt.Println("held")
	return exitHeld
}
