package ident

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/failure"
)

func TestProgramIdentifierContainsSlot(t *testing.T) {
	slot := Slot{DataCentre: "sapporo-a", Number: 17}
	got, err := NewProgram(slot, "x8f3").Slot()
	require.NoError(t, err)
	assert.Equal(t, slot, got)
	for _, malformed := range []Program{"", "x", "a-1", "a--1", "-1-x", "a-b-c", "a-1-", "a-99999999999999999999-x"} {
		_, err := malformed.Slot()
		assert.True(t, failure.Is(err, failure.UnknownProgram), "%q", malformed)
	}
}
