// Package safe turns a panic in the handling of one message or record into an error, so that it doesn't end the
// process and with it everything else that the process serves.
package safe

import (
	"fmt"
	"runtime/debug"
)

// PanicError is a panic that Call has recovered.
type PanicError struct {
	// Task is what was being done, Value what the code panicked with.
	Task  string
	Value any
	// Stack is the stack of the goroutine at the panic.
	Stack string
}

// Error implements error; it includes the stack, since there is no other record of it.
func (e *PanicError) Error() string {
	return fmt.Sprintf("panic: %s: %v\n%s", e.Task, e.Value, e.Stack)
}

// Call calls f and returns its error, or a *PanicError if it panics. Locks that f takes must be released by defer.
func Call(task string, f func() error) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = &PanicError{Task: task, Value: v, Stack: string(debug.Stack())}
		}
	}()
	return f()
}
