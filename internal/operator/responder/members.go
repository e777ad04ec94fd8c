package responder

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"os"
	"strings"

	"github.com/gorilla/mux"
	"github.com/jaygw/jaygw"
	"github.com/rotisserie/eris"
)

// bearer precedes the token in the Authorization header.
const bearer = "Bearer "

func (s *Responder) members(w http.ResponseWriter, r *http.Request) {
	if s.confirm(w, r) {
		writeJSON(w, http.StatusOK, s.replica.Status())
	}
}

func (s *Responder) changeMembers(w http.ResponseWriter, r *http.Request) {
	var body jaygw.ChangeMembers
	if readRequest(w, r, &body) {
		s.change(w, r, jaygw.Command{Members: &body})
	}
}

// ReadToken reads an operators' token from a file, without the white space around it. An empty token
// is an error.
func ReadToken(file string) (string, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return "", eris.Wrap(err, "read the operators' token")
	}
	token := strings.TrimSpace(string(data))
	if token == "" {
		return "", eris.Errorf("%s holds no token", file)
	}
	return token, nil
}

// RequireToken returns a middleware that rejects requests without the operators' token. The digests
// of the tokens are compared in constant time, so that the response time reveals nothing about the
// token.
func RequireToken(token string) mux.MiddlewareFunc {
	expected := sha256.Sum256([]byte(token))
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			presented, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearer)
			digest := sha256.Sum256([]byte(presented))
			if !ok || subtle.ConstantTimeCompare(digest[:], expected[:]) != 1 {
				w.Header().Set("WWW-Authenticate", "Bearer")
				writeJSON(w, http.StatusUnauthorized, ErrorResponse{Error: "the operators' token is missing or wrong; name its file with --token-file"})
				return
			}
			next.ServeHTTP(w, r)
		})
	}
}
