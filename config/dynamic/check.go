package dynamic

import (
	"encoding/json"
	"fmt"
	"regexp"

	"github.com/samber/lo"
)

// MaxEncodedBytes is the size of the largest set that can be published, encoded as
// JSON. The platform's store holds values of 1 MiB; the remaining 8192 bytes are
// for the version and the history.
const MaxEncodedBytes = 1<<20 - 8192

// maxNameLength is the largest length of a name in bytes.
const maxNameLength = 64

// namePattern matches names that are safe in store keys and metric labels.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// Check returns all validation errors of the set. A valid set has no dangling
// reference and no impossible combination.
func Check(set *Set) ValidationErrors {
	c := newChecker(set)
	c.checkNames()
	c.checkTopology()
	c.checkCustomers()
	c.checkServices()
	c.checkRoutes()
	c.checkShifts()
	c.checkSize()
	return c.errs
}

// checker collects the validation errors of one set.
type checker struct {
	set   *Set
	names map[Kind]map[string]bool
	errs  ValidationErrors
}

func newChecker(set *Set) *checker {
	c := &checker{set: set, names: map[Kind]map[string]bool{}}
	for _, kind := range kinds {
		c.names[kind.kind] = lo.SliceToMap(kind.objects(set), func(o Object) (string, bool) { return o.Name, true })
	}
	return c
}

// objectChecker checks one object; its errors are added to the checker.
type objectChecker struct {
	*checker
	kind  Kind
	index int
	name  string
}

// forObject returns a checker for one object of the set.
func (c *checker) forObject(kind Kind, index int, name string) objectChecker {
	return objectChecker{checker: c, kind: kind, index: index, name: name}
}

// addError adds a validation error for one field.
func (o objectChecker) addError(field, format string, args ...any) {
	o.errs = append(o.errs, ValidationError{
		Kind:    o.kind,
		Index:   o.index,
		Name:    o.name,
		Field:   field,
		Message: fmt.Sprintf(format, args...),
	})
}

// require adds a validation error for the field unless ok is true.
func (o objectChecker) require(ok bool, field, format string, args ...any) {
	if !ok {
		o.addError(field, format, args...)
	}
}

// requireObject checks that a field names an existing object of the kind, and
// reports whether it does.
func (o objectChecker) requireObject(field string, kind Kind, name string) bool {
	switch {
	case name == "":
		o.addError(field, "missing")
	case !o.names[kind][name]:
		o.addError(field, "no %s %q", singularNames[kind], name)
	default:
		return true
	}
	return false
}

// requireObjects checks that a field lists distinct existing objects of the kind.
func (o objectChecker) requireObjects(field string, kind Kind, names []string) {
	for _, name := range lo.Uniq(names) {
		o.requireObject(field, kind, name)
	}
	for _, name := range lo.FindDuplicates(names) {
		o.addError(field, "%q appears twice", name)
	}
}

// singularNames are the names of the kinds in error messages about references.
var singularNames = map[Kind]string{
	KindRegion:        "region",
	KindFailureDomain: "failure domain",
	KindCustomer:      "customer",
	KindService:       "service",
	KindVersion:       "version",
	KindUpstream:      "upstream",
}

func (c *checker) checkNames() {
	for _, kind := range kinds {
		seen := map[string]bool{}
		for _, o := range kind.objects(c.set) {
			c.checkName(o, seen[o.Name])
			seen[o.Name] = true
		}
	}
}

// checkName checks the name of an object. The name of a version is checked without
// that of its service.
func (c *checker) checkName(o Object, duplicate bool) {
	target := c.forObject(o.Kind, o.Index, o.Name)
	name := o.Name
	if version, ok := o.Value.(Version); ok {
		name = version.Name
	}
	switch {
	case name == "":
		target.addError("name", "missing")
	case len(name) > maxNameLength:
		target.addError("name", "longer than %d bytes", maxNameLength)
	case !namePattern.MatchString(name):
		target.addError("name", "%q has other characters than letters, digits, '.', '_' and '-'", name)
	case duplicate:
		target.addError("name", "the name stands twice")
	}
}

func (c *checker) checkSize() {
	data, err := json.Marshal(c.set)
	if err != nil {
		c.errs = append(c.errs, ValidationError{Message: err.Error()})
		return
	}
	if len(data) > MaxEncodedBytes {
		c.errs = append(c.errs, ValidationError{
			Message: fmt.Sprintf("the set takes %d bytes, over the %d that can be published", len(data), MaxEncodedBytes),
		})
	}
}
