package requesthead

import (
	"net/url"
	"slices"
	"strings"

	"samphireferry.example/ferry/errkind"
)

func badPath(detail string) error { return Refuse(BadPath, errkind.BadRequest, detail) }

// path returns the path and the query of a request target, and the other readings of the path.
func path(target string) (Head, error) {
	if !strings.HasPrefix(target, "/") {
		// The target is a URL, as for a proxy.
		_, rest, ok := strings.Cut(target, "://")
		slash := strings.IndexByte(rest, '/')
		if !ok || slash < 0 {
			return Head{}, badPath("the request target must be a path")
		}
		target = rest[slash:]
	}
	path, query, _ := strings.Cut(target, "?")
	if strings.Contains(path, "#") {
		return Head{}, badPath("the path has a fragment")
	}
	readings, err := readings(path)
	return Head{Path: path, Query: query, Readings: readings}, err
}

// readings returns what else programs take the path for: the path with its escapes decoded, with
// backslashes as slashes, and with the doubled slashes reduced to one.
func readings(path string) ([]string, error) {
	if !strings.ContainsAny(path, `%\`) && !strings.Contains(path, "//") && !strings.Contains(path, "/.") {
		return nil, nil
	}
	decoded, err := url.PathUnescape(path)
	if err != nil {
		return nil, badPath("the path has a malformed escape")
	}
	if strings.ContainsRune(decoded, 0) {
		return nil, badPath("the path has an encoded zero byte")
	}
	slashes := strings.ReplaceAll(decoded, `\`, "/")
	for segment := range strings.SplitSeq(slashes, "/") {
		if segment == "." || segment == ".." {
			return nil, badPath("the path has a dot segment")
		}
	}
	others := []string{decoded, slashes, reduced(slashes), reduced(path)}
	slices.Sort(others)
	return slices.DeleteFunc(slices.Compact(others), func(other string) bool { return other == path }), nil
}

// reduced returns the path with one slash in place of each series of them.
func reduced(path string) string {
	for strings.Contains(path, "//") {
		path = strings.ReplaceAll(path, "//", "/")
	}
	return path
}

// Select returns the route that match selects for the path, and false for none. It refuses a path of
// which another reading selects another route: an upstream that reads it so would run a request that
// was authorised, and is repeated after failures, by the rules of the wrong route.
func Select[R comparable](head Head, match func(path string) (R, bool)) (R, bool, error) {
	route, ok := match(head.Path)
	if !ok {
		return route, false, nil
	}
	for _, reading := range head.Readings {
		other, found := match(reading)
		if !found || other != route {
			var none R
			return none, false, badPath("the path selects another route when it is decoded")
		}
	}
	return route, true, nil
}
