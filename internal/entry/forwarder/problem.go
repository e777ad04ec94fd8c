package forwarder

import (
	"encoding/json"
	"errors"
	"net/http"
	"os"

	"github.com/jaygw/jaygw"
)

// problem is an error response in the format of RFC 9457.
type problem struct {
	Title    string         `json:"title"`
	Status   int            `json:"status"`
	Detail   string         `json:"detail,omitempty"`
	Executed jaygw.Executed `json:"executed"`
}

const retryAfterSeconds = "1"

// newRefusal returns the problem response to a request that was not executed.
func newRefusal(status int, title, detail string) *problem {
	return &problem{Status: status, Title: title, Detail: detail, Executed: jaygw.NotExecuted}
}

// sendProblem counts a problem and sends it to the caller.
func (f *Forwarder) sendProblem(w http.ResponseWriter, _ *http.Request, p problem) {
	if p.Executed == jaygw.NotExecuted {
		f.counters.refused.Inc(1)
	} else {
		f.counters.unknown.Inc(1)
	}
	writeProblem(w, p)
}

func writeProblem(w http.ResponseWriter, p problem) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.Header().Set(jaygw.HeaderExecuted, string(p.Executed))
	if p.Status == http.StatusServiceUnavailable || p.Status == http.StatusConflict {
		w.Header().Set("Retry-After", retryAfterSeconds)
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

// bodyProblem returns the problem response to a request whose body could not be read.
func bodyProblem(err error, executed jaygw.Executed) problem {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return problem{Status: http.StatusRequestEntityTooLarge, Title: "Body too large", Detail: err.Error(), Executed: executed}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return problem{Status: http.StatusRequestTimeout, Title: "Body too slow", Detail: err.Error(), Executed: executed}
	default:
		return problem{Status: http.StatusBadRequest, Title: "Body not accepted", Detail: err.Error(), Executed: executed}
	}
}
