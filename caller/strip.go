package caller

import (
	"net/http"
	"net/url"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// hopHeaders are the fields that concern one connection only, and the fields
// that the entry instance sets by itself.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Expect", "Http2-Settings",
}

// credentialHeaders are removed from each request, whatever its route.
var credentialHeaders = []string{"Authorization", "Proxy-Authorization"}

// internalPrefix precedes the headers that only the system itself may set.
const internalPrefix = "Ferry-"

// forwardedHeader returns the header to send to an upstream: a copy without
// hop-by-hop fields, without the fields of the system, and without any field
// that can carry a key or whose value contains the presented key.
func forwardedHeader(header http.Header, keyHeaders []string, key string) http.Header {
	forwarded := make(http.Header, len(header))
	listed := connectionTokens(header)
	for name, values := range header {
		if dropHeader(name, listed, keyHeaders) {
			continue
		}
		kept := valuesWithout(values, key)
		if len(kept) > 0 {
			forwarded[name] = kept
		}
	}
	return forwarded
}

// removeHopHeaders removes the hop-by-hop fields of an answer in place.
func removeHopHeaders(header http.Header) {
	for _, name := range connectionTokens(header) {
		header.Del(name)
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
}

func connectionTokens(header http.Header) []string {
	var tokens []string
	for _, line := range header["Connection"] {
		for token := range strings.SplitSeq(line, ",") {
			token = strings.TrimSpace(token)
			if token != "" {
				tokens = append(tokens, token)
			}
		}
	}
	return tokens
}

func dropHeader(name string, listed, keyHeaders []string) bool {
	return containsFold(hopHeaders, name) ||
		containsFold(credentialHeaders, name) ||
		containsFold(listed, name) ||
		containsFold(keyHeaders, name) ||
		hasPrefixFold(name, internalPrefix) ||
		!httpguts.ValidHeaderFieldName(name)
}

func containsFold(names []string, name string) bool {
	for _, n := range names {
		if strings.EqualFold(n, name) {
			return true
		}
	}
	return false
}

func hasPrefixFold(name, prefix string) bool {
	return len(name) >= len(prefix) && strings.EqualFold(name[:len(prefix)], prefix)
}

func valuesWithout(values []string, key string) []string {
	kept := make([]string, 0, len(values))
	for _, value := range values {
		if key == "" || !containsKey(value, key) {
			kept = append(kept, value)
		}
	}
	return kept
}

// containsKey says whether the text holds the key, plain or percent-encoded.
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
// and the encoding of the others stay as they were.
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
