package forwarder

import (
	"net"
	"net/http"
	"strings"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/wire/messenger"
)

type field = *messenger.Header

// hopByHop lists the fields that end at one connection (RFC 9110, section 7.6.1),
// and those that the next hop sets itself.
var hopByHop = map[string]bool{
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

// replaced lists the request fields that the entry sets.
var replaced = map[string]bool{
	"Host":              true,
	"Jaygw-Request":     true,
	"Jaygw-Retry":       true,
	"Jaygw-Timeout":     true,
	"X-Forwarded-For":   true,
	"X-Forwarded-Host":  true,
	"X-Forwarded-Proto": true,
}

// forwardedHeader returns the fields of a request that go on to the upstream.
func forwardedHeader(r *http.Request, id string) []field {
	dropped := connectionFields(r.Header)
	fields := make([]field, 0, len(r.Header)+5)
	for name, values := range r.Header {
		if hopByHop[name] || replaced[name] || dropped[name] {
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
	if before := r.Header.Values("X-Forwarded-For"); len(before) > 0 && !dropped["X-Forwarded-For"] {
		host = strings.Join(before, ", ") + ", " + host
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

// copyHeader passes the fields of a response on. What jaygw says of execution is
// not the upstream's to claim.
func copyHeader(to http.Header, fields []field) {
	var connection []string
	for _, f := range fields {
		if f.Name == "Connection" {
			connection = append(connection, f.Value)
		}
	}
	dropped := connectionFields(http.Header{"Connection": connection})
	for _, f := range fields {
		name := http.CanonicalHeaderKey(f.Name)
		if !hopByHop[name] && !dropped[name] && name != canonicalExecuted {
			to[name] = append(to[name], f.Value)
		}
	}
}

var canonicalExecuted = http.CanonicalHeaderKey(jaygw.HeaderExecuted)

// connectionFields returns the fields that the Connection field names.
func connectionFields(h http.Header) map[string]bool {
	values := h["Connection"]
	if len(values) == 0 {
		return nil
	}
	named := map[string]bool{}
	for _, value := range values {
		for name := range strings.SplitSeq(value, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return named
}
