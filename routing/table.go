package routing

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"samphireferry.example/ferry/config/dynamic"
)

// Defaults of optional fields.
const (
	defaultTimeout        = 10 * time.Second
	defaultMaxBody        = 16 << 20
	defaultCutOffAfter    = 30 * time.Second
	defaultQueueTimeout   = 200 * time.Millisecond
	defaultHealthInterval = 500 * time.Millisecond
	defaultConnections    = 360
	defaultHealthPath     = "/healthz"
	defaultLoadPath       = "/load"
)

// KeyHash is the SHA-256 of a caller's key.
type KeyHash [sha256.Size]byte

// HashKey returns the hash under which a key is looked up.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// Customer is one customer of a table.
type Customer struct {
	Name string
	// Index is the position among the customers of the table, by name.
	Index int
	// Rate is in requests per second; Burst in requests.
	Rate   float64
	Burst  int
	Weight int
	// Left says that only open routes and those that name the customer admit it.
	Left bool
}

// Key is one key of a table.
type Key struct {
	Name      string
	Customer  *Customer
	Withdrawn bool
}

// Upstream is one upstream of a table.
type Upstream struct {
	Name          string
	Service       string
	Version       string
	FailureDomain string
	Region        string
	Address       string
	Slots         int
	Connections   int
	// Drained is set when a drain names the upstream or its failure domain.
	Drained bool
}

// Service is one service of a table with its upstreams, sorted by name.
type Service struct {
	Name           string
	Index          int
	Deferrable     bool
	EchoRequestID  bool
	QueueTimeout   time.Duration
	HealthPath     string
	LoadPath       string
	HealthInterval time.Duration
	Versions       []string
	// StableVersion serves requests outside a roll-out; empty if the service
	// has no version.
	StableVersion string
	Upstreams     []*Upstream
}

// Route is one route of a table.
type Route struct {
	Name         string
	Index        int
	Service      *Service
	Host         string
	PathPrefix   string
	Methods      []string
	AtMostOnce   bool
	Open         bool
	OpenCustomer *Customer
	// Customers is nil when the route is not limited to some customers.
	Customers   map[string]bool
	KeyHeader   string
	KeyQuery    string
	Timeout     time.Duration
	MaxBody     int64
	WhenCutOff  dynamic.CutOffRule
	CutOffAfter time.Duration
}

// Admits says whether the customer may use the route. One that has left may
// use the routes that name it, and those that are open to all.
func (r *Route) Admits(customer *Customer) bool {
	if r.Customers == nil {
		return r.Open || !customer.Left
	}
	return r.Customers[customer.Name]
}

// Table is the immutable form of one configuration version.
type Table struct {
	Version   uint64
	PublishID string
	Set       *dynamic.Set
	Customers []*Customer
	Services  []*Service
	Routes    []*Route
	// Regions maps a failure domain to its region.
	Regions map[string]string
	// KeyHeaders and KeyParameters are the headers and query parameters that
	// carry a key on any route.
	KeyHeaders    []string
	KeyParameters []string

	keys       map[KeyHash]*Key
	customers  map[string]*Customer
	services   map[string]*Service
	byHost     map[string][]*Route
	anyHost    []*Route
	nameRoutes map[string]*Route
}

// Compile builds the table of a configuration that has passed its check.
func Compile(config *dynamic.Config) (*Table, error) {
	t := &Table{
		Version:    config.Version,
		PublishID:  config.PublishID,
		Set:        &config.Set,
		Regions:    map[string]string{},
		keys:       map[KeyHash]*Key{},
		customers:  map[string]*Customer{},
		services:   map[string]*Service{},
		byHost:     map[string][]*Route{},
		nameRoutes: map[string]*Route{},
	}
	for _, domain := range config.Set.FailureDomains {
		t.Regions[domain.Name] = domain.Region
	}
	t.addCustomers(config.Set.Customers)
	t.addServices(&config.Set)
	if err := t.addKeys(config.Set.Keys); err != nil {
		return nil, err
	}
	if err := t.addRoutes(config.Set.Routes); err != nil {
		return nil, err
	}
	return t, nil
}

func (t *Table) addCustomers(customers []dynamic.Customer) {
	for _, c := range customers {
		t.Customers = append(t.Customers, &Customer{
			Name:   c.Name,
			Rate:   c.Rate.PerSecond(),
			Burst:  c.Burst,
			Weight: max(c.Weight, 1),
			Left:   c.Left,
		})
	}
	slices.SortFunc(t.Customers, func(a, b *Customer) int { return cmp.Compare(a.Name, b.Name) })
	for i, c := range t.Customers {
		c.Index = i
		t.customers[c.Name] = c
	}
}

func (t *Table) addServices(set *dynamic.Set) {
	for _, s := range set.Services {
		t.Services = append(t.Services, &Service{
			Name:           s.Name,
			StableVersion:  s.StableVersion,
			Deferrable:     s.Deferrable,
			EchoRequestID:  s.EchoRequestID,
			QueueTimeout:   cmp.Or(s.QueueTimeout.Std(), defaultQueueTimeout),
			HealthPath:     cmp.Or(s.HealthPath, defaultHealthPath),
			LoadPath:       cmp.Or(s.LoadPath, defaultLoadPath),
			HealthInterval: cmp.Or(s.HealthInterval.Std(), defaultHealthInterval),
		})
	}
	slices.SortFunc(t.Services, func(a, b *Service) int { return cmp.Compare(a.Name, b.Name) })
	for i, s := range t.Services {
		s.Index = i
		t.services[s.Name] = s
	}
	for _, v := range set.Versions {
		if s := t.services[v.Service]; s != nil {
			s.Versions = append(s.Versions, v.Name)
		}
	}
	t.fillStableVersions(set.Rollouts)
	t.addUpstreams(set)
}

// fillStableVersions sets the stable versions that the set leaves out.
func (t *Table) fillStableVersions(rollouts []dynamic.Rollout) {
	from := map[string]string{}
	for _, r := range rollouts {
		from[r.Service] = r.From
	}
	for _, s := range t.Services {
		s.StableVersion = cmp.Or(s.StableVersion, from[s.Name])
		if s.StableVersion == "" && len(s.Versions) > 0 {
			s.StableVersion = s.Versions[0]
		}
	}
}

func (t *Table) addUpstreams(set *dynamic.Set) {
	drainedUpstreams := map[string]bool{}
	drainedDomains := map[string]bool{}
	for _, d := range set.Drains {
		drainedUpstreams[d.Upstream] = true
		drainedDomains[d.FailureDomain] = true
	}
	for _, u := range set.Upstreams {
		s := t.services[u.Service]
		if s == nil {
			continue
		}
		s.Upstreams = append(s.Upstreams, &Upstream{
			Name:          u.Name,
			Service:       u.Service,
			Version:       u.Version,
			FailureDomain: u.FailureDomain,
			Region:        t.Regions[u.FailureDomain],
			Address:       u.Address,
			Slots:         u.Slots,
			Connections:   cmp.Or(u.Connections, defaultConnections),
			Drained:       drainedUpstreams[u.Name] || drainedDomains[u.FailureDomain],
		})
	}
	for _, s := range t.Services {
		slices.Sort(s.Versions)
		slices.SortFunc(s.Upstreams, func(a, b *Upstream) int { return cmp.Compare(a.Name, b.Name) })
	}
}

func (t *Table) addKeys(keys []dynamic.Key) error {
	for _, k := range keys {
		var hash KeyHash
		decoded, err := hex.DecodeString(k.SHA256)
		if err != nil || len(decoded) != len(hash) {
			return errors.Newf("key %s: sha256 is not 64 hexadecimal digits", k.Name)
		}
		customer := t.customers[k.Customer]
		if customer == nil {
			return errors.Newf("key %s: no customer %s", k.Name, k.Customer)
		}
		copy(hash[:], decoded)
		t.keys[hash] = &Key{Name: k.Name, Customer: customer, Withdrawn: k.Withdrawn}
	}
	return nil
}

func (t *Table) addRoutes(routes []dynamic.Route) error {
	for i := range routes {
		r, err := t.compileRoute(&routes[i])
		if err != nil {
			return err
		}
		t.Routes = append(t.Routes, r)
		t.addKeyPlaces(r)
	}
	slices.SortFunc(t.Routes, compareRoutes)
	for i, r := range t.Routes {
		r.Index = i
		t.nameRoutes[r.Name] = r
		if r.Host == "" {
			t.anyHost = append(t.anyHost, r)
			continue
		}
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	return nil
}

func (t *Table) addKeyPlaces(r *Route) {
	if r.KeyHeader != "" && !slices.Contains(t.KeyHeaders, r.KeyHeader) {
		t.KeyHeaders = append(t.KeyHeaders, r.KeyHeader)
	}
	if r.KeyQuery != "" && !slices.Contains(t.KeyParameters, r.KeyQuery) {
		t.KeyParameters = append(t.KeyParameters, r.KeyQuery)
	}
}

func (t *Table) compileRoute(r *dynamic.Route) (*Route, error) {
	service := t.services[r.Service]
	if service == nil {
		return nil, errors.Newf("route %s: no service %s", r.Name, r.Service)
	}
	compiled := &Route{
		Name:         r.Name,
		Service:      service,
		Host:         strings.ToLower(r.Host),
		PathPrefix:   strings.TrimSuffix(r.PathPrefix, "/"),
		Methods:      r.Methods,
		AtMostOnce:   r.Kind == dynamic.AtMostOnce,
		Open:         r.Open,
		OpenCustomer: t.customers[r.OpenCustomer],
		KeyHeader:    r.KeyHeader,
		KeyQuery:     r.KeyQuery,
		Timeout:      cmp.Or(r.Timeout.Std(), defaultTimeout),
		MaxBody:      cmp.Or(int64(r.MaxBody), defaultMaxBody),
		WhenCutOff:   cmp.Or(r.WhenCutOff, dynamic.CutOffServe),
		CutOffAfter:  cmp.Or(r.CutOffAfter.Std(), defaultCutOffAfter),
	}
	if compiled.Open && compiled.OpenCustomer == nil {
		return nil, errors.Newf("route %s: no customer %s", r.Name, r.OpenCustomer)
	}
	if len(r.Customers) > 0 {
		compiled.Customers = map[string]bool{}
	}
	for _, name := range r.Customers {
		compiled.Customers[name] = true
	}
	return compiled, nil
}

func compareRoutes(a, b *Route) int {
	return cmp.Or(
		cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)),
		cmp.Compare(min(len(b.Methods), 1), min(len(a.Methods), 1)),
		cmp.Compare(a.Name, b.Name),
	)
}

// Match returns the most specific route for the request. The host may have a
// port and is compared without regard to case.
func (t *Table) Match(host, path, method string) (*Route, bool) {
	if len(t.byHost) > 0 {
		if r := matchRoute(t.byHost[canonicalHost(host)], path, method); r != nil {
			return r, true
		}
	}
	r := matchRoute(t.anyHost, path, method)
	return r, r != nil
}

// Key returns the key with the hash.
func (t *Table) Key(hash KeyHash) (*Key, bool) {
	k, ok := t.keys[hash]
	return k, ok
}

// Customer returns the customer with the name, or nil.
func (t *Table) Customer(name string) *Customer { return t.customers[name] }

// Service returns the service with the name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Route returns the route with the name, or nil.
func (t *Table) Route(name string) *Route { return t.nameRoutes[name] }

func matchRoute(routes []*Route, path, method string) *Route {
	for _, r := range routes {
		if matchPath(r.PathPrefix, path) && matchMethod(r.Methods, method) {
			return r
		}
	}
	return nil
}

func matchPath(prefix, path string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || path[len(prefix)] == '/'
}

func matchMethod(methods []string, method string) bool {
	return len(methods) == 0 || slices.Contains(methods, method)
}

func canonicalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i > strings.LastIndexByte(host, ']') {
		host = host[:i]
	}
	return strings.ToLower(host)
}
