package responder_test

import (
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"github.com/jaygw/jaygw/internal/operator/client"
	"github.com/jaygw/jaygw/internal/operator/responder"
	"github.com/stretchr/testify/require"
)

// Guards against requests that reach the operators' interface without a token or with a wrong one,
// such as a part of the right token.
func TestTokenIsRequired(t *testing.T) {
	file := filepath.Join(t.TempDir(), "token")
	require.NoError(t, os.WriteFile(file, []byte("secret\n"), 0o600))
	token, err := responder.ReadToken(file)
	require.NoError(t, err)
	reached := 0
	server := httptest.NewServer(responder.RequireToken(token)(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		reached++
		_, _ = w.Write([]byte("{}"))
	})))
	defer server.Close()
	address := server.Listener.Addr().String()
	for _, wrong := range []string{"", "secre", "secret2"} {
		_, err := client.New(address).WithToken(wrong).Members(t.Context())
		require.ErrorContains(t, err, "--token-file")
	}
	require.Zero(t, reached)
	_, err = client.New(address).WithToken(token).Members(t.Context())
	require.NoError(t, err)
	require.Equal(t, 1, reached)
}

// Guards against an empty token file, which would admit every request with an empty token.
func TestEmptyTokenIsRefused(t *testing.T) {
	file := filepath.Join(t.TempDir(), "token")
	require.NoError(t, os.WriteFile(file, []byte("\n"), 0o600))
	_, err := responder.ReadToken(file)
	require.ErrorContains(t, err, "holds no token")
}
