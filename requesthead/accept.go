package requesthead

import (
	"net/http"
	"net/textproto"
	"slices"
	"strings"

	"samphireferry.example/ferry/errkind"
)

// Fields names the fields of requests that have a meaning for the system, in canonical form.
type Fields struct {
	// Kept are those that the Connection field cannot remove: the system reads or sets them.
	Kept []string
	// Once are those that must not be received twice.
	Once []string
}

// Head is the canonical form of a head.
type Head struct {
	// Path is the path as the caller sent it. It selects the route and is sent to the upstream.
	Path string
	// Query is the query as the caller sent it, without its question mark.
	Query string
	// Readings are the other paths that an upstream may take the path for, none for an ordinary path.
	Readings []string
}

// hopByHop are the fields that concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Accept returns the canonical form of the parsed head, or a *Refusal. It removes the fields that
// concern only the connection to the caller, so it must run before any other part reads or sets a field.
func Accept(r *http.Request, fields Fields) (Head, error) {
	for _, name := range fields.Once {
		if len(r.Header[name]) > 1 {
			return Head{}, Refuse(RepeatedField, errkind.BadRequest, "the field "+name+" occurs twice")
		}
	}
	head, err := path(r.RequestURI)
	if err != nil {
		return Head{}, err
	}
	for _, value := range r.Header["Connection"] {
		for option := range strings.SplitSeq(value, ",") {
			name := textproto.CanonicalMIMEHeaderKey(textproto.TrimString(option))
			if !slices.Contains(fields.Kept, name) {
				delete(r.Header, name)
			}
		}
	}
	for _, name := range hopByHop {
		delete(r.Header, name)
	}
	return head, nil
}
