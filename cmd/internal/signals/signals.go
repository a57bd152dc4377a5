// Package signals handles the signals of a long-running process. A signal without a
// handler has its default effect, which for most of them ends the process and cuts its
// requests in progress. The handlers are therefore installed by the first statement of
// main and stay until the process exits, its graceful stop included.
package signals

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// Handle installs the handlers. The returned context ends at the first SIGINT or SIGTERM;
// further ones have no effect. The channel receives SIGHUP; of several that arrive before
// one is received, one is kept.
//
// SIGPIPE is ignored, so that the process outlives the reader of its log. SIGQUIT keeps
// its default effect: it ends the process with the stacks of all goroutines.
func Handle() (context.Context, <-chan os.Signal) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	// The stop function is dropped: it would restore the default effect.
	ctx, _ := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	return ctx, hangups
}
