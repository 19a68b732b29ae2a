package lineplot

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/failure"
)

func TestChartIsSaved(t *testing.T) {
	chart := Chart{Title: "t", XLabel: "x", YLabel: "y", Lines: []Line{{"a", []Point{{0, 0}, {1, 1}}}, {"b", []Point{{0, 1}, {1, 0}}}}}
	file := filepath.Join(t.TempDir(), "p.png")
	require.NoError(t, chart.Save(file))
	content, err := os.ReadFile(file)
	require.NoError(t, err)
	require.Equal(t, "\x89PNG", string(content[:4]))
	require.True(t, failure.Is(chart.Save(filepath.Join(file, "none", "p.png")), failure.Usage))
}
