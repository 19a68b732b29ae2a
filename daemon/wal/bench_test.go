package wal

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/historypb"
)

// BenchmarkAppend appends durable records from one writer and from many at once.
func BenchmarkAppend(b *testing.B) {
	for name, writers := range map[string]int{"writers=1": 1, "writers=64": 64} {
		b.Run(name, func(b *testing.B) {
			l, _, err := Open(b.TempDir(), CreateFile, func(*historypb.Record) {})
			require.NoError(b, err)
			defer l.Close()
			b.SetParallelism(writers)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if err := appendWait(l, record("p", 1000)); err != nil {
						b.Error(err)
					}
				}
			})
		})
	}
}
