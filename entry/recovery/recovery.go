// Package recovery confines a panic to the request or the background task in which it
// occurs, so that one unexpected message does not end the process.
package recovery

import (
	"context"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/rs/zerolog"
)

// Panic is the error of a task that panicked.
type Panic struct {
	// Task is the name of the task.
	Task string
	// Value is what the task panicked with.
	Value any
	// Stack is the stack at the panic, at most maxStackBytes.
	Stack string
}

// maxStackBytes bounds the stack of a panic in a log line.
const maxStackBytes = 4 << 10

// Error implements error.
func (p *Panic) Error() string { return fmt.Sprintf("panic in %s: %v", p.Task, p.Value) }

// New returns the error of a panic that the caller has just recovered.
func New(task string, value any) *Panic {
	stack := debug.Stack()
	return &Panic{Task: task, Value: value, Stack: string(stack[:min(len(stack), maxStackBytes)])}
}

// Reporter logs and counts a panic. It must be safe for concurrent use.
type Reporter func(*Panic)

// Log returns a reporter that writes a line for each panic.
func Log(log zerolog.Logger) Reporter {
	return func(p *Panic) {
		log.Error().Err(p).Str("event", "panicked").Str("task", p.Task).Str("stack", p.Stack).Send()
	}
}

// Run runs a task and returns after it has returned or panicked; it reports the panic
// and returns whether there was one.
func Run(report Reporter, task string, run func()) (panicked bool) {
	defer func() {
		if value := recover(); value != nil {
			panicked = true
			report(New(task, value))
		}
	}()
	run()
	return false
}

// restartPause is the pause before a task that panicked is started again. A fault that
// recurs at once costs a bounded share of the processor.
const restartPause = 500 * time.Millisecond

// Loop runs a background task until it returns without a panic or ctx ends.
func Loop(ctx context.Context, report Reporter, task string, run func(context.Context)) {
	for Run(report, task, func() { run(ctx) }) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(restartPause):
		}
	}
}
