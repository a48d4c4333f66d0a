package caller

import (
	"net/http"
	"net/url"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// hopHeaders are the hop-by-hop header fields and the fields that the entry
// instance sets itself.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Expect", "Http2-Settings",
}

// credentialHeaders are removed from each request, regardless of its route.
var credentialHeaders = []string{"Authorization", "Proxy-Authorization"}

// internalPrefix is the prefix of headers that only the entry instance may set.
const internalPrefix = "Ferry-"

// forwardedHeader returns the header to send to an upstream: a copy without
// hop-by-hop fields, internal fields, fields that can carry a key, and values
// that contain the presented key.
func forwardedHeader(header http.Header, keyHeaders []string, key string) http.Header {
	forwarded := make(http.Header, len(header))
	connectionFields := connectionOptions(header)
	for name, values := range header {
		if dropHeader(name, connectionFields, keyHeaders) {
			continue
		}
		kept := valuesWithout(values, key)
		if len(kept) > 0 {
			forwarded[name] = kept
		}
	}
	return forwarded
}

// removeHopHeaders removes the hop-by-hop fields of a response in place.
func removeHopHeaders(header http.Header) {
	for _, name := range connectionOptions(header) {
		header.Del(name)
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
}

// connectionOptions returns the options in the Connection field, most of which
// are names of hop-by-hop fields.
func connectionOptions(header http.Header) []string {
	var options []string
	for _, value := range header["Connection"] {
		for option := range strings.SplitSeq(value, ",") {
			option = strings.TrimSpace(option)
			if option != "" {
				options = append(options, option)
			}
		}
	}
	return options
}

// dropHeader reports whether the field must not be forwarded to an upstream.
func dropHeader(name string, connectionFields, keyHeaders []string) bool {
	return containsFold(hopHeaders, name) ||
		containsFold(credentialHeaders, name) ||
		containsFold(connectionFields, name) ||
		containsFold(keyHeaders, name) ||
		hasPrefixFold(name, internalPrefix) ||
		!httpguts.ValidHeaderFieldName(name)
}

// containsFold reports whether names contains name, ignoring case.
func containsFold(names []string, name string) bool {
	for _, n := range names {
		if strings.EqualFold(n, name) {
			return true
		}
	}
	return false
}

// hasPrefixFold is like strings.HasPrefix, ignoring case.
func hasPrefixFold(name, prefix string) bool {
	return len(name) >= len(prefix) && strings.EqualFold(name[:len(prefix)], prefix)
}

// valuesWithout returns the values that do not contain the key.
func valuesWithout(values []string, key string) []string {
	kept := make([]string, 0, len(values))
	for _, value := range values {
		if key == "" || !containsKey(value, key) {
			kept = append(kept, value)
		}
	}
	return kept
}

// containsKey reports whether the text contains the key, plain or percent-encoded.
func containsKey(text, key string) bool {
	if strings.Contains(text, key) {
		return true
	}
	decoded, err := url.QueryUnescape(text)
	if err == nil && strings.Contains(decoded, key) {
		return true
	}
	decoded, err = url.PathUnescape(text)
	return err == nil && strings.Contains(decoded, key)
}

// forwardedQuery returns the query without the parameters that can carry a key
// and without those whose name or value contains the presented key. The order
// and the encoding of the other parameters are preserved.
func forwardedQuery(rawQuery string, keyParameters []string, key string) string {
	if rawQuery == "" {
		return ""
	}
	var kept []string
	for parameter := range strings.SplitSeq(rawQuery, "&") {
		if !dropParameter(parameter, keyParameters, key) {
			kept = append(kept, parameter)
		}
	}
	return strings.Join(kept, "&")
}

// dropParameter reports whether the parameter must not be forwarded. One whose
// name cannot be decoded is dropped as well.
func dropParameter(parameter string, keyParameters []string, key string) bool {
	if key != "" && containsKey(parameter, key) {
		return true
	}
	name, _, _ := strings.Cut(parameter, "=")
	decoded, err := url.QueryUnescape(name)
	if err != nil {
		return true
	}
	for _, keyParameter := range keyParameters {
		if decoded == keyParameter {
			return true
		}
	}
	return false
}
