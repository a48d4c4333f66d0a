package upstream

// HealthReport is the JSON answer of a health endpoint with status 200.
type HealthReport struct {
	// Draining says that the upstream wants no new work.
	Draining bool `json:"draining,omitempty"`
	// Cold says that its caches are empty.
	Cold bool `json:"cold,omitempty"`
}

// LoadReport is the JSON answer of a load endpoint.
type LoadReport struct {
	// Load is the used part of the slots.
	Load float64 `json:"load"`
}
