package caller

import (
	"net/http"
	"net/url"
	"strings"

	"samphireferry.example/ferry/errkind"
	"samphireferry.example/ferry/routing"
)

// maxKeyBytes is the maximum length of a presented API key, in bytes.
const maxKeyBytes = 512

// bearerPrefix precedes the key in the Authorization header, in any case.
const bearerPrefix = "bearer "

// presentedKey returns the API key that the request presents for the route, or
// "" if it presents none. Two different keys are refused as a bad request.
func presentedKey(r *http.Request, route *routing.Route) (string, error) {
	var candidates []string
	if route.KeyHeader != "" {
		candidates = append(candidates, r.Header.Values(route.KeyHeader)...)
	} else {
		candidates = append(candidates, bearerTokens(r.Header["Authorization"])...)
	}
	if route.KeyQuery != "" {
		candidates = append(candidates, queryValues(r.URL.RawQuery, route.KeyQuery)...)
	}
	return singleKey(candidates)
}

// bearerTokens returns the bearer tokens in values of the Authorization header.
func bearerTokens(values []string) []string {
	var tokens []string
	for _, value := range values {
		if hasPrefixFold(value, bearerPrefix) {
			tokens = append(tokens, value[len(bearerPrefix):])
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

// singleKey returns the only distinct key among the candidates, or "" if all are
// empty.
func singleKey(candidates []string) (string, error) {
	key := ""
	for _, candidate := range candidates {
		candidate = strings.TrimSpace(candidate)
		if candidate == "" {
			continue
		}
		if key != "" && candidate != key {
			return "", errkind.New(errkind.BadRequest, "the request presents two different keys")
		}
		key = candidate
	}
	if len(key) > maxKeyBytes {
		return "", errkind.New(errkind.KeyUnknown, "the key is too long")
	}
	return key, nil
}

// identify returns the customer of the key, or the open customer of the route if
// there is no key. It refuses customers that the route does not admit.
func identify(table *routing.Table, route *routing.Route, key string) (*routing.Customer, error) {
	if key == "" {
		if route.Open {
			return route.OpenCustomer, nil
		}
		return nil, errkind.New(errkind.KeyMissing, "")
	}
	entry, ok := table.Key(routing.HashKey(key))
	switch {
	case !ok:
		return nil, errkind.New(errkind.KeyUnknown, "")
	case entry.Withdrawn:
		return nil, errkind.New(errkind.KeyWithdrawn, "")
	case !route.Admits(entry.Customer):
		return nil, errkind.New(errkind.CustomerNotAllowed, "")
	}
	return entry.Customer, nil
}
