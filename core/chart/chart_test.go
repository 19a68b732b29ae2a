package chart

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/failure"
)

const door = `
# a door
initial closed
closed open  -> open
open   close -> closed
closed lock  -> locked
final locked
`

func TestNextFollowsOnlyDeclaredTransitions(t *testing.T) {
	c, err := Parse("door", door)
	require.NoError(t, err)
	s := c.Initial()
	assert.Equal(t, "closed", c.StateName(s))
	s, ok := c.Next(s, c.Event("open"))
	assert.True(t, ok)
	same, ok := c.Next(s, c.Event("lock"))
	assert.False(t, ok, "an open door cannot be locked")
	assert.Equal(t, s, same)
	assert.True(t, c.IsFinal(c.State("locked")))
	assert.Panics(t, func() { c.Event("kick") })
}

func TestParseRejectsInvalidCharts(t *testing.T) {
	for name, text := range map[string]string{
		"invalid statement":       "initial a\na b c",
		"no initial state":        "a e -> b",
		"conflicting transitions": "initial a\na e -> b\na e -> c",
	} {
		_, err := Parse(name, text)
		assert.True(t, failure.Is(err, failure.InvalidDeclaration), name)
	}
}
