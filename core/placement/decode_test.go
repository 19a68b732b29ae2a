package placement

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// encodedMap is an assigned map of three members as JSON, with one part replaced.
func encodedMap(t *testing.T, part, replacement string) []byte {
	m := New(1)
	for _, id := range []string{"a", "b", "c"} {
		m.Admit(Member{ID: id, Host: "h" + id, Address: "10.0.0.1:1", DataCentre: "dc" + id})
	}
	m.Assign()
	text, err := json.Marshal(m)
	require.NoError(t, err)
	require.True(t, strings.Contains(string(text), part), part)
	return []byte(strings.Replace(string(text), part, replacement, 1))
}

// A map that another writer has spoiled must not be used: hosts would end, or write to members that are none.
func TestSpoiledMapIsNotDecoded(t *testing.T) {
	m, err := Decode(encodedMap(t, "", ""))
	require.NoError(t, err)
	require.True(t, m.IsAssigned())
	for name, text := range map[string][]byte{
		"empty":            []byte("{}"),
		"null":             []byte("null"),
		"a number":         []byte("7"),
		"nested deeply":    encodedMap(t, `"epoch"`, `"x":`+strings.Repeat("[", 12000)+strings.Repeat("]", 12000)+`,"epoch"`),
		"no slots":         []byte(`{"epoch":9,"faults":1,"members":{},"slots":[]}`),
		"negative faults":  encodedMap(t, `"faults":1`, `"faults":-1`),
		"many faults":      encodedMap(t, `"faults":1`, `"faults":4000000000`),
		"faults too large": encodedMap(t, `"faults":1`, `"faults":1e400`),
		"last epoch":       encodedMap(t, `"epoch":5`, `"epoch":18446744073709551615`),
		"unknown replica":  encodedMap(t, `"member":"a"`, `"member":"x"`),
		"replica twice":    encodedMap(t, `"member":"a"`, `"member":"b"`),
		"no address":       encodedMap(t, `"address":"10.0.0.1:1"`, `"address":""`),
		"other ID":         encodedMap(t, `"id":"a"`, `"id":"x"`),
	} {
		_, err := Decode(text)
		require.Error(t, err, name)
	}
}
