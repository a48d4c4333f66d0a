package routing

import (
	"crypto/sha256"
	"slices"
	"time"

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
	// Priority replaces that of a route, unless it is nil.
	Priority *int
	// HomeRegions is nil when any region may serve the customer.
	HomeRegions []string
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
	// Connections bounds the connections to one upstream over all entry
	// instances together; 0 is no bound.
	Connections int
	// ColdRate bounds the requests per second to a cold upstream over all entry
	// instances together; 0 is no bound.
	ColdRate float64
	// ColdFor is how long an upstream stays cold.
	ColdFor  time.Duration
	Versions []string
	// StableVersion serves requests outside a roll-out; empty if the service
	// has no version.
	StableVersion string
	Upstreams     []*Upstream
}

// Part is one part of the split of a route. Weight is its share, from 0 to 1.
type Part struct {
	Service *Service
	Weight  float64
}

// Route is one route of a table.
type Route struct {
	Name  string
	Index int
	// Service is the only service, or the first of Split.
	Service *Service
	// Split is nil when the route has one service.
	Split        []Part
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
	// WholePrefix requires a slash after PathPrefix.
	WholePrefix bool
	// Attempts bounds the upstreams of one request; 0 is no bound.
	Attempts      int
	TargetLatency time.Duration
	Priority      int
	Sticky        bool
	// HomeRegions is nil when any region may serve the route.
	HomeRegions []string
}

// PriorityOf returns the priority of a request of the customer, which may be nil.
func (r *Route) PriorityOf(customer *Customer) int {
	if customer != nil && customer.Priority != nil {
		return *customer.Priority
	}
	return r.Priority
}

// AllowsRegion says whether the homes of the route and of the customer, which
// may be nil, include the region.
func (r *Route) AllowsRegion(customer *Customer, region string) bool {
	if r.HomeRegions != nil && !slices.Contains(r.HomeRegions, region) {
		return false
	}
	return customer == nil || customer.HomeRegions == nil || slices.Contains(customer.HomeRegions, region)
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
