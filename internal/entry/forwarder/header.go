package forwarder

import (
	"net"
	"net/http"
	"strings"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/wire/messenger"
)

type headerField = *messenger.Header

// hopByHopFields lists the fields that are valid for one connection only (RFC 9110,
// section 7.6.1), and those that the next hop sets itself.
var hopByHopFields = map[string]bool{
	"Connection":          true,
	"Content-Length":      true,
	"Expect":              true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// overwrittenFields lists the request fields that the entry sets itself.
var overwrittenFields = map[string]bool{
	"Host":              true,
	"Jaygw-Request":     true,
	"Jaygw-Retry":       true,
	"Jaygw-Timeout":     true,
	"X-Forwarded-For":   true,
	"X-Forwarded-Host":  true,
	"X-Forwarded-Proto": true,
}

// forwardedHeader returns the header fields that are sent to the upstream with a request.
func forwardedHeader(r *http.Request, id string) []headerField {
	dropped := connectionFields(r.Header)
	fields := make([]headerField, 0, len(r.Header)+5)
	for name, values := range r.Header {
		if hopByHopFields[name] || overwrittenFields[name] || dropped[name] {
			continue
		}
		for _, value := range values {
			fields = append(fields, &messenger.Header{Name: name, Value: value})
		}
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		host = r.RemoteAddr
	}
	if previous := r.Header.Values("X-Forwarded-For"); len(previous) > 0 && !dropped["X-Forwarded-For"] {
		host = strings.Join(previous, ", ") + ", " + host
	}
	proto := "http"
	if r.TLS != nil {
		proto = "https"
	}
	return append(fields,
		&messenger.Header{Name: "Host", Value: r.Host},
		&messenger.Header{Name: "Jaygw-Request", Value: id},
		&messenger.Header{Name: "X-Forwarded-For", Value: host},
		&messenger.Header{Name: "X-Forwarded-Host", Value: r.Host},
		&messenger.Header{Name: "X-Forwarded-Proto", Value: proto},
	)
}

// copyHeader copies the end-to-end fields of a response. It drops jaygw-executed, which
// only the entry may set.
func copyHeader(dst http.Header, fields []headerField) {
	var connection []string
	for _, f := range fields {
		if f.Name == "Connection" {
			connection = append(connection, f.Value)
		}
	}
	dropped := connectionFields(http.Header{"Connection": connection})
	for _, f := range fields {
		name := http.CanonicalHeaderKey(f.Name)
		if !hopByHopFields[name] && !dropped[name] && name != canonicalExecuted {
			dst[name] = append(dst[name], f.Value)
		}
	}
}

var canonicalExecuted = http.CanonicalHeaderKey(jaygw.HeaderExecuted)

// connectionFields returns the names of the fields that the Connection field lists.
func connectionFields(h http.Header) map[string]bool {
	values := h["Connection"]
	if len(values) == 0 {
		return nil
	}
	names := map[string]bool{}
	for _, value := range values {
		for name := range strings.SplitSeq(value, ",") {
			names[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return names
}
