package caller

import (
	"net/http"
	"path"
	"strings"

	"samphireferry.example/ferry/errkind"
)

// checkPath refuses paths that an upstream could interpret as a different path
// than the one that is matched with a route.
func checkPath(r *http.Request) error {
	if r.Method == http.MethodConnect || r.URL.Path == "" || r.URL.Path[0] != '/' {
		return errkind.New(errkind.BadRequest, "the request target must be a path")
	}
	clean := path.Clean(r.URL.Path)
	if clean != "/" && strings.HasSuffix(r.URL.Path, "/") {
		clean += "/"
	}
	if clean != r.URL.Path {
		return errkind.New(errkind.BadRequest, "the path has dot segments or empty segments")
	}
	escaped := strings.ToLower(r.URL.EscapedPath())
	for _, sequence := range []string{"%2f", "%5c", "%00", "\\", "%2e"} {
		if strings.Contains(escaped, sequence) {
			return errkind.New(errkind.BadRequest, "the path has an encoded separator")
		}
	}
	return nil
}
