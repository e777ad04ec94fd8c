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

const bearer = "Bearer "

func (s *Responder) members(w http.ResponseWriter, r *http.Request) {
	if s.confirm(w, r) {
		writeJSON(w, http.StatusOK, s.replica.Status())
	}
}

func (s *Responder) changeMembers(w http.ResponseWriter, r *http.Request) {
	var q jaygw.ChangeMembers
	if read(w, r, &q) {
		s.change(w, r, jaygw.Command{Members: &q})
	}
}

// ReadToken reads an operators' token from a file.
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

// RequireToken lets only requests with the token through. The comparison takes
// equal time for all wrong tokens.
func RequireToken(token string) mux.MiddlewareFunc {
	want := sha256.Sum256([]byte(token))
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			shown, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearer)
			found := sha256.Sum256([]byte(shown))
			if !ok || subtle.ConstantTimeCompare(found[:], want[:]) != 1 {
				w.Header().Set("WWW-Authenticate", "Bearer")
				writeJSON(w, http.StatusUnauthorized, ErrorResponse{Error: "the operators' token is missing or wrong; name its file with --token-file"})
				return
			}
			next.ServeHTTP(w, r)
		})
	}
}
