package forwarder

import (
	"encoding/json"
	"net/http"

	"github.com/jaygw/jaygw"
)

// problem is an error response (RFC 9457).
type problem struct {
	Title    string         `json:"title"`
	Status   int            `json:"status"`
	Detail   string         `json:"detail,omitempty"`
	Executed jaygw.Executed `json:"executed"`
}

const retryAfterSeconds = "1"

func writeProblem(w http.ResponseWriter, p problem) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.Header().Set(jaygw.HeaderExecuted, string(p.Executed))
	if p.Status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfterSeconds)
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}
