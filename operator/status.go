package operator

// InstanceStatus is the state of one entry instance in its own view.
type InstanceStatus struct {
	Name          string `json:"name" doc:"Name that the platform gives the instance."`
	Incarnation   string `json:"incarnation" doc:"Differs between two processes at one address."`
	Address       string `json:"address" doc:"IP address and port for callers."`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	Release       string `json:"release" doc:"Release of the program."`
	Ready         bool   `json:"ready" doc:"Whether the instance serves requests."`
	Leaving       bool   `json:"leaving" doc:"Whether the instance is shutting down."`

	ConfigVersion   uint64 `json:"config_version" doc:"Version in force; 0 when there is none."`
	PublishID       string `json:"publish_id,omitempty" doc:"Publish id of the version in force."`
	ShareVersion    uint64 `json:"share_version" doc:"Version of the share table in force."`
	SharesConfirmed bool   `json:"shares_confirmed" doc:"Whether the instance may use its shares."`
	StoreHeard      bool   `json:"store_heard" doc:"Whether any word of the store has arrived."`
	StoreAgeMillis  int64  `json:"store_age_ms" doc:"Milliseconds since the newest word of the store left it."`

	Peers    []PeerStatus  `json:"peers,omitempty"`
	Moves    []ShiftStatus `json:"moves,omitempty"`
	Rollouts []ShiftStatus `json:"rollouts,omitempty"`
	// WithdrawnKeys lists the names of keys whose withdrawal is in force.
	WithdrawnKeys       []string `json:"withdrawn_keys,omitempty" doc:"Names of keys whose withdrawal is in force."`
	InvariantViolations int64    `json:"invariant_violations" doc:"Violated invariants since the start."`
}

// PeerStatus is the state of a peer in the view of one entry instance.
type PeerStatus struct {
	Name            string `json:"name"`
	OperatorAddress string `json:"operator_address,omitempty"`
	FailureDomain   string `json:"failure_domain"`
	Health          string `json:"health" doc:"Judgement on the peer, such as alive, suspect or silent."`
	Leaving         bool   `json:"leaving"`
	ConfigVersion   uint64 `json:"config_version"`
	StoreAgeMillis  int64  `json:"store_age_ms"`
}

// ShiftStatus is the progress of one move or roll-out.
type ShiftStatus struct {
	Name    string  `json:"name"`
	Service string  `json:"service"`
	State   string  `json:"state" doc:"One of running, holding, done and taken_back."`
	Step    uint64  `json:"step" doc:"Number of the step in force."`
	Share   float64 `json:"share" doc:"Part of the traffic that is shifted, between 0 and 1."`
	Reason  string  `json:"reason,omitempty"`
}
