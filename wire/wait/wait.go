// Package wait provides a wait that ends early with a context.
package wait

import (
	"context"
	"time"
)

// For waits for d. It returns false if the context ended first. If d is not positive, it returns at
// once and makes no timer.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
