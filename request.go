package jaygw

import "time"

type (
	// Executed says whether a request may have been executed by an upstream.
	Executed string

	// AttemptID identifies one attempt of a request at one entry.
	AttemptID uint64

	// RequestHead is the start line and header of a request, as an entry sends
	// it to an agent.
	RequestHead struct {
		Attempt AttemptID
		// Request is the id of the request, by which the time line finds it.
		Request string
		// Entry is the name of the entry.
		Entry   string
		Service string
		Class   Class
		Method  string
		// Target is the path and the query.
		Target string
		// Header holds pairs of name and value.
		Header [][2]string
		// Length is the size of the body in bytes; -1 if it is not known.
		Length int64
		// Remaining is the time left until the caller's deadline when the attempt is sent.
		Remaining time.Duration
		// Retry is set for each attempt of the request but the first.
		Retry bool
	}

	// ResponseHead is the status and header of a response.
	ResponseHead struct {
		Attempt AttemptID
		// Incarnation is that of the agent that responds.
		Incarnation Incarnation
		// Status is the HTTP status.
		Status int
		// Header holds pairs of name and value.
		Header [][2]string
		// Length is the size of the body in bytes; -1 if it is not known.
		Length int64
	}
)

const (
	// NotExecuted means that no upstream has received any part of the request.
	NotExecuted Executed = "no"
	// ExecutionUnknown means that an upstream may have executed the request.
	ExecutionUnknown Executed = "unknown"

	// HeaderExecuted is set on error responses; its value is an Executed.
	HeaderExecuted = "jaygw-executed"
	// HeaderTimeout carries the caller's time limit as a duration such as "800ms".
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
