package routing

import (
	"cmp"
	"crypto/sha256"
	"slices"
	"time"

	"samphireferry.example/ferry/config/dynamic"
)

// Defaults of optional fields.
const (
	defaultTimeout        = 10 * time.Second
	defaultMaxBody        = 16 << 20 // bytes
	defaultCutOffAfter    = 30 * time.Second
	defaultQueueTimeout   = 200 * time.Millisecond
	defaultHealthInterval = 500 * time.Millisecond
	defaultConnections    = 360 // per upstream
	defaultHealthPath     = "/healthz"
	defaultLoadPath       = "/load"
)

// KeyHash is the SHA-256 hash of a caller's key.
type KeyHash [sha256.Size]byte

// HashKey returns the hash under which a key is looked up.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// Customer is one customer of a table.
type Customer struct {
	Name string
	// Index is the position among the customers of the table, sorted by name.
	Index int
	// Rate is the limit in requests per second, Burst in requests.
	Rate  float64
	Burst int
	// Weight is at least 1.
	Weight int
	// Left means that only routes that name the customer in Customers, and open
	// routes without Customers, admit it.
	Left bool
	// Priority overrides that of a route, unless it is nil.
	Priority *int
	// HomeRegions lists the regions that may serve the customer; nil allows any.
	HomeRegions []string
}

// Homes returns HomeRegions; nil for a nil customer.
func (c *Customer) Homes() []string {
	if c == nil {
		return nil
	}
	return c.HomeRegions
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
	// Address is the IP address and port.
	Address string
	// Slots is the number of requests that the upstream runs concurrently.
	Slots int
	// Connections bounds the requests in flight from one entry instance, each of which
	// uses a connection.
	Connections int
	// MaxConnections bounds the open connections from one entry instance where Connections
	// changes with the number of instances; 0 means Connections. A change of it closes all
	// connections.
	MaxConnections int
	// Drained is set when a drain names the upstream or its failure domain.
	Drained bool
}

// ConnectionLimit returns the bound on the open connections from one entry instance.
func (u *Upstream) ConnectionLimit() int { return cmp.Or(u.MaxConnections, u.Connections) }

// Service is one service of a table with its upstreams, sorted by name.
type Service struct {
	Name string
	// Index is the position among the services of the table, sorted by name.
	Index      int
	Deferrable bool
	// EchoRequestID means that upstreams return the request id in their responses.
	EchoRequestID bool
	// QueueTimeout bounds the time that a request waits for a free slot.
	QueueTimeout   time.Duration
	HealthPath     string
	LoadPath       string
	HealthInterval time.Duration
	// Connections bounds the connections to one upstream across all entry
	// instances; 0 means no limit.
	Connections int
	// ColdRate bounds the requests per second to a cold upstream across all entry
	// instances; 0 means no limit.
	ColdRate float64
	// ColdFor is the time for which an upstream stays cold.
	ColdFor time.Duration
	// Versions is sorted.
	Versions []string
	// StableVersion serves requests outside a roll-out; empty if the service has no
	// version.
	StableVersion string
	Upstreams     []*Upstream
}

// WeightedService is one service of the split of a route. Weight is its share of
// the requests, from 0 to 1.
type WeightedService struct {
	Service *Service
	Weight  float64
}

// Route is one route of a table.
type Route struct {
	Name string
	// Index is the position among the routes of the table, the most specific first.
	Index int
	// Service is the only service, or the first one of Split.
	Service *Service
	// Split is nil when the route has one service.
	Split []WeightedService
	// Host is in lower case; empty matches any host.
	Host string
	// PathPrefix is stored without its trailing slash.
	PathPrefix string
	// Methods is empty when the route matches any method.
	Methods    []string
	AtMostOnce bool
	// Open means that the route admits requests without a key, as OpenCustomer.
	Open bool
	// OpenCustomer is nil when the configuration names none.
	OpenCustomer *Customer
	// Customers is nil when the route is not restricted to certain customers.
	Customers map[string]bool
	KeyHeader string
	// KeyQuery names the query parameter that carries the key.
	KeyQuery string
	Timeout  time.Duration
	// MaxBody bounds the request body in bytes.
	MaxBody     int64
	WhenCutOff  dynamic.CutOffRule
	CutOffAfter time.Duration
	// RequireTrailingSlash requires a slash after PathPrefix.
	RequireTrailingSlash bool
	// MaxAttempts bounds the upstreams tried for one request; 0 means no limit.
	MaxAttempts   int
	TargetLatency time.Duration
	Priority      int
	Sticky        bool
	// HomeRegions lists the regions that may serve the route; nil allows any.
	HomeRegions []string
}

// PriorityOf returns the priority of a request of the customer on the route. The
// customer may be nil.
func (r *Route) PriorityOf(customer *Customer) int {
	if customer != nil && customer.Priority != nil {
		return *customer.Priority
	}
	return r.Priority
}

// AllowsRegion reports whether the home regions of both the route and the
// customer include the region. The customer may be nil.
func (r *Route) AllowsRegion(customer *Customer, region string) bool {
	if r.HomeRegions != nil && !slices.Contains(r.HomeRegions, region) {
		return false
	}
	return customer == nil || customer.HomeRegions == nil || slices.Contains(customer.HomeRegions, region)
}

// Admits reports whether the customer may use the route. A customer that has left
// may use the routes that name it in Customers, and open routes without Customers.
func (r *Route) Admits(customer *Customer) bool {
	if r.Customers == nil {
		return r.Open || !customer.Left
	}
	return r.Customers[customer.Name]
}

// Table is the immutable compiled form of one configuration version.
type Table struct {
	// Version is the configuration version.
	Version   uint64
	PublishID string
	// Set is the configuration from which the table was compiled.
	Set       *dynamic.Set
	Customers []*Customer
	Services  []*Service
	Routes    []*Route
	// Regions maps each failure domain to its region.
	Regions map[string]string
	// KeyHeaders and KeyParameters are the header fields and query parameters that
	// carry a key on at least one route.
	KeyHeaders    []string
	KeyParameters []string

	keys             map[KeyHash]*Key
	customers        map[string]*Customer
	services         map[string]*Service
	routesByHost     map[string][]*Route
	routesForAnyHost []*Route
	routesByName     map[string]*Route
}
