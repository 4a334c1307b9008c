// Package pause provides a context-aware sleep.
package pause

import (
	"context"
	"time"
)

// For waits for a duration or until ctx is done. It returns immediately if the duration isn't positive.
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
