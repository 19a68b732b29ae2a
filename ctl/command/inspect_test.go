package command

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

// startRole serves fixed answers by path and returns the address.
func startRole(t *testing.T, answers map[string]string) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text, ok := answers[r.URL.Path]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_, _ = w.Write([]byte(text))
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

func TestInspectShowsBothRoles(t *testing.T) {
	entry := startRole(t, map[string]string{
		"/state":   `{"ready":true,"requests_active":3,"config_version":12,"history":{"epoch":7,"unservable_slots":2}}`,
		"/metrics": "ready 1\n",
	})
	history := startRole(t, map[string]string{"/state": `{"member":"ab","epoch":8,"slots_active":60,"slots_joining":4,"programs":90}`})
	run := func(args ...string) (int, string, string) {
		var out, errw bytes.Buffer
		code := Main(args, &out, &errw)
		return code, out.String(), errw.String()
	}
	code, out, errText := run("--host", entry, "--host", history, "inspect")
	require.Equal(t, ExitOK, code, errText)
	require.Contains(t, out, "ready, configuration 12, 3 requests, 2 unservable slots")
	require.Contains(t, out, "60 slots, 4 joining, 90 programs")

	code, out, _ = run("--output", "json", "--host", history, "inspect")
	require.Equal(t, ExitOK, code)
	require.Contains(t, out, `"slots_joining": 4`)

	code, out, _ = run("--host", entry, "inspect", "--metrics")
	require.Equal(t, ExitOK, code)
	require.Equal(t, "# "+entry+"\nready 1\n", out)

	code, _, errText = run("--host", history, "inspect", "--metrics")
	require.Equal(t, ExitFailure, code)
	require.Contains(t, errText, "404")
	code, _, errText = run("--host", startRole(t, map[string]string{"/state": "{}"}), "inspect")
	require.Equal(t, ExitFailure, code)
	require.Contains(t, errText, "not the state of an entry or history role")
	code, _, _ = run("inspect")
	require.Equal(t, ExitUsage, code)
}

func TestQuotasAreSummedOverHosts(t *testing.T) {
	host := func(tokens, refused string) string {
		return startRole(t, map[string]string{"/state": `{"member":"ab","quotas":[{"customer":"crew","config_version":5,"rate_per_s":40,"burst":41,"parts":2,"tokens":` +
			tokens + `,"granted":7,"refused":` + refused + `}]}`})
	}
	a, b := host("1.5", "3"), host("2", "0")
	run := func(args ...string) (int, string) {
		var out, errw bytes.Buffer
		return Main(append([]string{"--host", a, "--host", b}, args...), &out, &errw), out.String()
	}
	code, out := run("quotas")
	require.Equal(t, ExitOK, code)
	require.Regexp(t, `crew +40 +41 +3.5 +14 +3 +2`, out)
	code, out = run("quotas", "--customer", "crew")
	require.Equal(t, ExitOK, code)
	require.Contains(t, out, a)
	require.Contains(t, out, b)
	code, _ = run("quotas", "--customer", "nobody")
	require.Equal(t, ExitFailure, code)
}
