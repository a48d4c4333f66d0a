// Package dynamic holds the objects that operators create and edit while
// traffic runs: customers, keys, services, routes, versions, upstreams and the
// rest of a Set.
//
// Objects have names and refer to each other by name. A Set is checked as a
// whole before it is published; a Set that has passed Check has no dangling
// reference and no impossible combination. A published Set is wrapped in a
// Config, whose version number only increases.
package dynamic
