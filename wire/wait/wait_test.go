package wait

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestForEndsWithItsDurationOrItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		startedAt := time.Now()
		require.True(t, For(t.Context(), time.Second))
		require.Equal(t, time.Second, time.Since(startedAt))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		require.False(t, For(ctx, time.Minute))
		require.Equal(t, 2*time.Second, time.Since(startedAt))
		require.True(t, For(t.Context(), 0))
		require.False(t, For(ctx, -time.Second), "the context has ended")
		require.Equal(t, 2*time.Second, time.Since(startedAt))
	})
}
