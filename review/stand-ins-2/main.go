// Command review2 has the stand-ins of the cases in review/6 to review/10: the platform's
// store, workers and clients. It starts the system's own processes, plays one case, and
// exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
package main

import (
	"errors"
	"fmt"
	"os"
	"strconv"
)

// errBroken is returned if the rule of a case was broken.
var errBroken = errors.New("the rule was broken")

// world is what a case runs in.
type world struct {
	record *record
	// temporary is a folder for the settings and logs of the processes.
	temporary string
	// trouble is set if the disruption is to be played.
	trouble   bool
	instances []*instance
}

var cases = map[string]func(*world) error{
	"stop-hup":         stopHup,
	"slow-readers":     slowReaders,
	"cut-watches":      cutWatches,
	"stop-slow-reader": stopSlowReader,
	"evicted-answers":  evictedAnswers,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(c func(*world) error, folder string) int {
	r, err := newRecord(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	temporary, err := os.MkdirTemp("", "review2-")
	if err != nil {
		r.print("%v", err)
		return 2
	}
	defer func() { _ = os.RemoveAll(temporary) }()
	w := &world{record: r, temporary: temporary, trouble: true}
	if value, err := strconv.ParseBool(os.Getenv("TROUBLE")); err == nil {
		w.trouble = value
	}
	err = c(w)
	for _, i := range w.instances {
		i.kill()
	}
	switch {
	case errors.Is(err, errBroken):
		r.print("result: %v", err)
		return 1
	case err != nil:
		r.print("result: the case could not run: %v", err)
		return 2
	}
	r.print("result: the rule held")
	return 0
}
