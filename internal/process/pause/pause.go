// Package pause waits, as long as a context lasts.
package pause

import (
	"context"
	"time"
)

// For waits for a duration or until ctx ends; a duration that is not positive doesn't wait.
func For(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
