package dynamic

import (
	"encoding/json"
	"fmt"
	"regexp"

	"github.com/samber/lo"
)

// MaxEncodedBytes is the largest set that can be published. The platform's
// store holds values of 1 MiB; the rest is for the version and the history.
const MaxEncodedBytes = 1<<20 - 8192

// maxNameLength is the largest length of a name in bytes.
const maxNameLength = 64

// namePattern allows what is safe in store keys and metric labels.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// Check returns everything that is wrong in the set. A set without faults has
// no dangling reference and no impossible combination.
func Check(set *Set) Faults {
	c := newChecker(set)
	c.checkNames()
	c.checkTopology()
	c.checkCustomers()
	c.checkServices()
	c.checkRoutes()
	c.checkShifts()
	c.checkSize()
	return c.faults
}

// checker collects the faults of one set.
type checker struct {
	set    *Set
	names  map[Kind]map[string]bool
	faults Faults
}

func newChecker(set *Set) *checker {
	c := &checker{set: set, names: map[Kind]map[string]bool{}}
	for _, kind := range kinds {
		c.names[kind.kind] = lo.SliceToMap(kind.objects(set), func(o Object) (string, bool) { return o.Name, true })
	}
	return c
}

// object is the object under check; its faults are added to the checker.
type object struct {
	*checker
	kind  Kind
	index int
	name  string
}

func (c *checker) object(kind Kind, index int, name string) object {
	return object{checker: c, kind: kind, index: index, name: name}
}

// fault adds a fault of one field.
func (o object) fault(field, format string, args ...any) {
	o.faults = append(o.faults, Fault{
		Kind:    o.kind,
		Index:   o.index,
		Name:    o.name,
		Field:   field,
		Message: fmt.Sprintf(format, args...),
	})
}

// require adds a fault unless ok is true.
func (o object) require(ok bool, field, format string, args ...any) {
	if !ok {
		o.fault(field, format, args...)
	}
}

// refer checks that a field names an object of the kind, and says whether it
// does.
func (o object) refer(field string, kind Kind, name string) bool {
	switch {
	case name == "":
		o.fault(field, "missing")
	case !o.names[kind][name]:
		o.fault(field, "no %s %q", singular[kind], name)
	default:
		return true
	}
	return false
}

// referAll checks a field that lists distinct objects of the kind.
func (o object) referAll(field string, kind Kind, names []string) {
	for _, name := range lo.Uniq(names) {
		o.refer(field, kind, name)
	}
	for _, name := range lo.FindDuplicates(names) {
		o.fault(field, "%q stands twice", name)
	}
}

var singular = map[Kind]string{
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

func (c *checker) checkName(o Object, duplicate bool) {
	at := c.object(o.Kind, o.Index, o.Name)
	name := o.Name
	if version, ok := o.Value.(Version); ok {
		name = version.Name
	}
	switch {
	case name == "":
		at.fault("name", "missing")
	case len(name) > maxNameLength:
		at.fault("name", "longer than %d bytes", maxNameLength)
	case !namePattern.MatchString(name):
		at.fault("name", "%q has other characters than letters, digits, '.', '_' and '-'", name)
	case duplicate:
		at.fault("name", "the name stands twice")
	}
}

func (c *checker) checkSize() {
	data, err := json.Marshal(c.set)
	if err != nil {
		c.faults = append(c.faults, Fault{Message: err.Error()})
		return
	}
	if len(data) > MaxEncodedBytes {
		c.faults = append(c.faults, Fault{
			Message: fmt.Sprintf("the set takes %d bytes, over the %d that can be published", len(data), MaxEncodedBytes),
		})
	}
}
