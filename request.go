package jaygw

import "time"

type (
	// Executed says whether a request can have reached an upstream.
	Executed string

	// AttemptID identifies one attempt of a request at one entry.
	AttemptID uint64

	// RequestHead is the start line and header of a request, as an entry sends
	// it to an agent.
	RequestHead struct {
		Attempt   AttemptID
		Request   string // the request's id, for the time line
		Entry     string
		Service   string
		Class     Class
		Method    string
		Target    string // path and query
		Header    [][2]string
		Length    int64 // of the body; -1 if unknown
		Remaining time.Duration
		Retry     bool
	}

	// ResponseHead is the status and header of a response.
	ResponseHead struct {
		Attempt     AttemptID
		Incarnation Incarnation
		Status      int
		Header      [][2]string
		Length      int64 // of the body; -1 if unknown
	}
)

const (
	// NotExecuted means that no upstream was given a byte of the request.
	NotExecuted Executed = "no"
	// ExecutionUnknown means that an upstream may have run the request.
	ExecutionUnknown Executed = "unknown"

	// HeaderExecuted tells a caller whether a refused request was executed.
	HeaderExecuted = "jaygw-executed"
	// HeaderTimeout carries the caller's deadline as a duration such as "800ms".
	HeaderTimeout = "jaygw-timeout"
	// HeaderRetry marks a request that is itself a retry; it is not retried.
	HeaderRetry = "jaygw-retry"
	// HeaderRequest carries the request's id.
	HeaderRequest = "jaygw-request"
	// HeaderKey carries the caller's idempotency key.
	HeaderKey = "idempotency-key"
)

// HasBody reports whether a response to a request with this method may have a
// body (RFC 9110, section 6.4.1).
func HasBody(method string, status int) bool {
	return method != "HEAD" && status >= 200 && status != 204 && status != 304
}
