package delta

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pistachioarch/pistachioarch/core/failure"
)

func TestApplyReversesMake(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := rapid.SliceOfN(rapid.Byte(), 0, 3000).Draw(t, "base")
		next := bytes.Clone(base)
		for range rapid.IntRange(0, 4).Draw(t, "edits") {
			at := rapid.IntRange(0, len(next)).Draw(t, "at")
			end := rapid.IntRange(at, len(next)).Draw(t, "end")
			next = append(append(bytes.Clone(next[:at]), rapid.SliceOfN(rapid.Byte(), 0, 50).Draw(t, "in")...), next[end:]...)
		}
		d, err := Make(base, next)
		require.NoError(t, err)
		got, err := Apply(base, d)
		require.NoError(t, err)
		require.True(t, bytes.Equal(next, got))
	})
}

// document returns a text of many entries; the entry at index at has a different value.
func document(entries, at int, value string) []byte {
	var b bytes.Buffer
	for i := range entries {
		v := "usual"
		if i == at {
			v = value
		}
		fmt.Fprintf(&b, `{"id":"m-%d","address":"10.0.%d.%d:7380","value":%q},`, i*7919%entries, i/250, i%250, v)
	}
	return b.Bytes()
}

// The size of the delta for a small change must not grow with the object.
func TestSmallChangeHasSmallDelta(t *testing.T) {
	for _, entries := range []int{100, 1000, 10000} {
		base, next := document(entries, -1, ""), document(entries, entries/3, "other")
		d, err := Make(base, next)
		require.NoError(t, err)
		require.Less(t, len(d), 300, "%d bytes", len(next))
	}
}

func TestDamagedDeltaIsCorrupt(t *testing.T) {
	base, next := document(100, -1, ""), document(100, 40, "other")
	d, err := Make(base, next)
	require.NoError(t, err)
	for name, damaged := range map[string][]byte{"empty": nil, "truncated": d[:len(d)/2], "not a frame": []byte("no frame")} {
		_, err := Apply(base, damaged)
		require.True(t, failure.Is(err, failure.Corrupt), "%s: %v", name, err)
	}
}

func FuzzApply(f *testing.F) {
	base := document(20, -1, "")
	d, err := Make(base, document(20, 4, "other"))
	require.NoError(f, err)
	f.Add(d)
	f.Fuzz(func(t *testing.T, d []byte) {
		if next, err := Apply(base, d); err == nil {
			require.LessOrEqual(t, len(next), MaxBytes)
		}
	})
}
