package caller

import (
	"net/http"
	"net/url"
	"strings"

	"samphireferry.example/ferry/errkind"
	"samphireferry.example/ferry/routing"
)

// maxKeyLength bounds a presented key, in bytes.
const maxKeyLength = 512

const bearerPrefix = "bearer "

// presentedKey returns the key that the request presents for the route, or ""
// when it presents none. Two different keys are refused as a bad request.
func presentedKey(r *http.Request, route *routing.Route) (string, error) {
	var found []string
	if route.KeyHeader != "" {
		found = append(found, r.Header.Values(route.KeyHeader)...)
	} else {
		found = append(found, bearerTokens(r.Header["Authorization"])...)
	}
	if route.KeyQuery != "" {
		found = append(found, queryValues(r.URL.RawQuery, route.KeyQuery)...)
	}
	return singleKey(found)
}

func bearerTokens(lines []string) []string {
	var tokens []string
	for _, line := range lines {
		if hasPrefixFold(line, bearerPrefix) {
			tokens = append(tokens, line[len(bearerPrefix):])
		}
	}
	return tokens
}

func queryValues(rawQuery, name string) []string {
	query, err := url.ParseQuery(rawQuery)
	if err != nil {
		return nil
	}
	return query[name]
}

func singleKey(found []string) (string, error) {
	key := ""
	for _, candidate := range found {
		candidate = strings.TrimSpace(candidate)
		if candidate == "" {
			continue
		}
		if key != "" && candidate != key {
			return "", errkind.New(errkind.BadRequest, "the request presents two different keys")
		}
		key = candidate
	}
	if len(key) > maxKeyLength {
		return "", errkind.New(errkind.KeyUnknown, "the key is too long")
	}
	return key, nil
}

// identify returns the customer for which the request runs.
func identify(table *routing.Table, route *routing.Route, key string) (*routing.Customer, error) {
	if key == "" {
		if route.Open {
			return route.OpenCustomer, nil
		}
		return nil, errkind.New(errkind.KeyMissing, "")
	}
	known, ok := table.Key(routing.HashKey(key))
	switch {
	case !ok:
		return nil, errkind.New(errkind.KeyUnknown, "")
	case known.Withdrawn:
		return nil, errkind.New(errkind.KeyWithdrawn, "")
	case !route.Admits(known.Customer):
		return nil, errkind.New(errkind.CustomerNotAllowed, "")
	}
	return known.Customer, nil
}
