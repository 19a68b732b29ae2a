package api

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/wire/httpclient"
)

// A status that is no success must not be read as one: a redirect by something between the client and the host, say.
func TestOtherStatusesAreFailures(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
	}))
	defer server.Close()
	c := NewClient(httpclient.New(&http.Transport{}), server.URL, "token")
	require.True(t, failure.Is(c.End(t.Context(), "p"), failure.Internal))
	_, err := c.Create(t.Context(), CreateProgram{})
	require.Equal(t, failure.RanUnknown, failure.From(err).Ran)
	_, err = c.Stream(t.Context(), "p", Call{}, func(string, string) {})
	require.True(t, failure.Is(err, failure.Internal))
}
