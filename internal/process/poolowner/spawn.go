package poolowner

import (
	"fmt"

	"go.uber.org/zap"
)

// spawn runs a function of the term in its own goroutine.
func (t *term) spawn(name string, run func()) {
	go func() {
		defer t.endOnPanic(name)
		run()
	}()
}

// endOnPanic is deferred by the term's goroutines. A panic ends the term and not the process: what the term knows may be
// inconsistent, and the next owner builds it again from the store and the workers.
func (t *term) endOnPanic(name string) {
	cause := recover()
	if cause == nil {
		return
	}
	t.panicked.Store(true)
	t.owner.metrics.Panics.Add(1)
	t.log.Error("owner: panic", zap.String("in", name), zap.String("cause", fmt.Sprint(cause)), zap.Stack("stack"))
	t.end("panic in " + name)
}
