package routing

import (
	"cmp"
	"encoding/hex"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"samphireferry.example/ferry/config/dynamic"
)

// Compile builds the table of a validated configuration. It returns an error when
// a key hash is malformed, a split has no weight, or a key or route refers to an
// object that does not exist.
func Compile(config *dynamic.Config) (*Table, error) {
	t := &Table{
		Version:      config.Version,
		PublishID:    config.PublishID,
		Set:          &config.Set,
		Regions:      map[string]string{},
		keys:         map[KeyHash]*Key{},
		customers:    map[string]*Customer{},
		services:     map[string]*Service{},
		routesByHost: map[string][]*Route{},
		routesByName: map[string]*Route{},
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
			Name:        c.Name,
			Rate:        c.Rate.PerSecond(),
			Burst:       c.Burst,
			Weight:      max(c.Weight, 1),
			Left:        c.Left,
			Priority:    c.Priority,
			HomeRegions: nilIfEmpty(c.HomeRegions),
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
			Connections:    s.Connections,
			ColdRate:       s.ColdRate,
			ColdFor:        s.ColdFor.Std(),
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

// fillStableVersions sets the stable version of each service that configures
// none: the version from which its roll-out starts, or else the first version
// that the configuration lists for it.
func (t *Table) fillStableVersions(rollouts []dynamic.Rollout) {
	rolloutFrom := map[string]string{}
	for _, r := range rollouts {
		rolloutFrom[r.Service] = r.From
	}
	for _, s := range t.Services {
		s.StableVersion = cmp.Or(s.StableVersion, rolloutFrom[s.Name])
		if s.StableVersion == "" && len(s.Versions) > 0 {
			s.StableVersion = s.Versions[0]
		}
	}
}

// addUpstreams adds the upstreams to their services and sorts them and the
// versions by name.
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
		t.addKeySources(r)
	}
	slices.SortFunc(t.Routes, compareRoutes)
	for i, r := range t.Routes {
		r.Index = i
		t.routesByName[r.Name] = r
		if r.Host == "" {
			t.routesForAnyHost = append(t.routesForAnyHost, r)
			continue
		}
		t.routesByHost[r.Host] = append(t.routesByHost[r.Host], r)
	}
	return nil
}

// addKeySources records the header and the query parameter that carry the key on
// the route.
func (t *Table) addKeySources(r *Route) {
	if r.KeyHeader != "" && !slices.Contains(t.KeyHeaders, r.KeyHeader) {
		t.KeyHeaders = append(t.KeyHeaders, r.KeyHeader)
	}
	if r.KeyQuery != "" && !slices.Contains(t.KeyParameters, r.KeyQuery) {
		t.KeyParameters = append(t.KeyParameters, r.KeyQuery)
	}
}

func (t *Table) compileRoute(r *dynamic.Route) (*Route, error) {
	service, split, err := t.resolveServices(r)
	if err != nil {
		return nil, err
	}
	compiled := &Route{
		Name:                 r.Name,
		Service:              service,
		Split:                split,
		Host:                 strings.ToLower(r.Host),
		PathPrefix:           strings.TrimSuffix(r.PathPrefix, "/"),
		Methods:              r.Methods,
		AtMostOnce:           r.Kind == dynamic.AtMostOnce,
		Open:                 r.Open,
		OpenCustomer:         t.customers[r.OpenCustomer],
		KeyHeader:            r.KeyHeader,
		KeyQuery:             r.KeyQuery,
		Timeout:              cmp.Or(r.Timeout.Std(), defaultTimeout),
		MaxBody:              cmp.Or(int64(r.MaxBody), defaultMaxBody),
		WhenCutOff:           cmp.Or(r.WhenCutOff, dynamic.CutOffServe),
		CutOffAfter:          cmp.Or(r.CutOffAfter.Std(), defaultCutOffAfter),
		RequireTrailingSlash: r.RequireTrailingSlash,
		MaxAttempts:          r.Attempts,
		TargetLatency:        r.TargetLatency.Std(),
		Priority:             r.Priority,
		Sticky:               r.Sticky,
		HomeRegions:          nilIfEmpty(r.HomeRegions),
	}
	if r.OpenCustomer != "" && compiled.OpenCustomer == nil {
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

// resolveServices returns the only service of a route, or the first service of
// its split together with the split, whose weights are normalised to a sum of 1.
func (t *Table) resolveServices(r *dynamic.Route) (*Service, []WeightedService, error) {
	if len(r.Split) == 0 {
		service := t.services[r.Service]
		if service == nil {
			return nil, nil, errors.Newf("route %s: no service %s", r.Name, r.Service)
		}
		return service, nil, nil
	}
	total := 0.0
	parts := make([]WeightedService, 0, len(r.Split))
	for _, part := range r.Split {
		service := t.services[part.Service]
		if service == nil {
			return nil, nil, errors.Newf("route %s: no service %s", r.Name, part.Service)
		}
		total += part.Weight
		parts = append(parts, WeightedService{Service: service, Weight: part.Weight})
	}
	if total <= 0 {
		return nil, nil, errors.Newf("route %s: all weights are 0", r.Name)
	}
	for i := range parts {
		parts[i].Weight /= total
	}
	return parts[0].Service, parts, nil
}

// nilIfEmpty returns nil for an empty list, which means no restriction.
func nilIfEmpty(regions []string) []string {
	if len(regions) == 0 {
		return nil
	}
	return regions
}

// compareRoutes orders routes of the same host by descending precedence.
func compareRoutes(a, b *Route) int {
	return cmp.Or(
		cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)),
		cmp.Compare(min(len(b.Methods), 1), min(len(a.Methods), 1)),
		cmp.Compare(a.Name, b.Name),
	)
}
