package settings

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const validSettings = `[host]
name = h1
data_centre = sapporo-a
[platform]
url = http://127.0.0.1:18100
[operators]
token_sha256 = 2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b
`

func TestParse(t *testing.T) {
	s, err := Parse([]byte(validSettings + "[timing]\nlease = 3s\nrenew = 1s\n[peers]\nseeds = 127.0.0.1:1, 127.0.0.1:2\n"))
	require.NoError(t, err)
	assert.Equal(t, 3*time.Second, s.Host.LeaseDuration)
	assert.Equal(t, []string{"127.0.0.1:1", "127.0.0.1:2"}, s.Seeds)
	assert.Equal(t, "default", s.Host.Policy)
}

func TestParseRejectsInvalidSettings(t *testing.T) {
	for name, c := range map[string]struct{ text, section, key string }{
		"unknown key":     {validSettings + "[log]\ncolour = red\n", "log", "colour"},
		"unknown section": {validSettings + "[moon]\nphase = full\n", "moon", "phase"},
		"unknown level":   {validSettings + "[log]\nlevel = loud\n", "log", "level"},
		"duration":        {validSettings + "[timing]\nlease = soon\n", "timing", "lease"},
		"lease too short": {validSettings + "[timing]\nlease = 3s\nrenew = 2s\n", "timing", "renew"},
		"not an IP":       {validSettings + "[listen]\ncallers = example:80\n", "listen", "callers"},
		"seed":            {validSettings + "[peers]\nseeds = nowhere\n", "peers", "seeds"},
		"number":          {validSettings + "[limits]\nbody_bytes = -1\n", "limits", "body_bytes"},
		"half of TLS":     {validSettings + "[peers]\ntls_cert = /dev/null\n", "peers", "tls_cert"},
		"missing file":    {validSettings + "[peers]\ntls_key = /no/such/file\n", "peers", "tls_key"},
		"policy":          {validSettings + "[scheduling]\npolicy = luck\n", "scheduling", "policy"},
	} {
		_, err := Parse([]byte(c.text))
		var invalid InvalidSettings
		if assert.ErrorAs(t, err, &invalid, name) {
			found := false
			for _, f := range invalid {
				found = found || f.Section == c.section && f.Key == c.key
			}
			assert.True(t, found, "%s: %v", name, invalid)
		}
	}
}

func TestParseReportsAllInvalidSettings(t *testing.T) {
	_, err := Parse([]byte("[host]\nname = a b\n[listen]\ncallers = x\n"))
	var invalid InvalidSettings
	require.True(t, errors.As(err, &invalid))
	assert.Len(t, invalid, 5, "%v", invalid)
}

func FuzzParse(f *testing.F) {
	f.Add(validSettings)
	f.Add("[host\nname")
	f.Fuzz(func(t *testing.T, text string) {
		s, err := Parse([]byte(text))
		if (s == nil) == (err == nil) {
			t.Fatal("want either settings or an error")
		}
	})
}
