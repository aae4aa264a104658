package ticker

import (
	"context"
	"time"
)

// Sleep waits until the duration has passed or ctx is done.
func Sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
