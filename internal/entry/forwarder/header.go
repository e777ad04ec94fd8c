package forwarder

import (
	"net"
	"net/http"
	"strings"

	"github.com/jaygw/jaygw/internal/wire/messenger"
)

// hopByHop lists the fields that end at one connection (RFC 9110, section 7.6.1).
var hopByHop = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// forwardedHeader returns the fields of a request that go on to the upstream.
func forwardedHeader(r *http.Request) []*messenger.Header {
	dropped := map[string]bool{}
	for _, value := range r.Header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			dropped[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	var fields []*messenger.Header
	for name, values := range r.Header {
		if hopByHop[name] || dropped[name] || name == "X-Forwarded-For" {
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
	return append(fields, &messenger.Header{Name: "X-Forwarded-For", Value: host})
}
