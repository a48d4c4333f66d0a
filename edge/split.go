package edge

import (
	"slices"
	"sync"

	"samphireferry.example/ferry/routing"
)

// split divides the requests of a route among its services by weight: the next request
// goes to the service that is furthest behind its weight. So the counts of every prefix
// of the requests match the weights to within one request.
type split struct {
	parts []routing.WeightedService

	mu      sync.Mutex
	credits []float64
}

func newSplit(parts []routing.WeightedService) *split {
	return &split{parts: parts, credits: make([]float64, len(parts))}
}

// matches reports whether the parts have the same services and weights.
func (s *split) matches(parts []routing.WeightedService) bool {
	return slices.EqualFunc(s.parts, parts, func(a, b routing.WeightedService) bool {
		return a.Service.Name == b.Service.Name && a.Weight == b.Weight
	})
}

// update replaces the services by those of a newer configuration, whose names and
// weights are the same.
func (s *split) update(parts []routing.WeightedService) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.parts = parts
}

// service returns the service with the name, or nil when the split does not have it.
func (s *split) service(name string) *routing.Service {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, part := range s.parts {
		if part.Service.Name == name {
			return part.Service
		}
	}
	return nil
}

// next returns the service for the next request.
func (s *split) next() *routing.Service {
	s.mu.Lock()
	defer s.mu.Unlock()
	best := s.earn(s.credits)
	s.credits[best]--
	return s.parts[best].Service
}

// peek returns the service that next would return, and the parts. It changes nothing.
func (s *split) peek() (*routing.Service, []routing.WeightedService) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.parts[s.earn(slices.Clone(s.credits))].Service, s.parts
}

// earn adds the weights to the credits and returns the position of the highest credit.
func (s *split) earn(credits []float64) int {
	best := 0
	for i, part := range s.parts {
		credits[i] += part.Weight
		if credits[i] > credits[best] {
			best = i
		}
	}
	return best
}
