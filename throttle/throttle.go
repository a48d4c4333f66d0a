package throttle

import "sync"

// Throttle holds the limits that upstreams have stated. It is safe for concurrent use.
type Throttle struct {
	mu        sync.Mutex
	upstreams map[string]*state
}

// state is what is known of one upstream that has stated a limit.
type state struct{ limit Limit }

// New returns a throttle that knows of no limits.
func New() *Throttle { return &Throttle{upstreams: map[string]*state{}} }
