package membership

import (
	"time"

	"samphireferry.example/ferry/rpc/entrypb"
)

// Heard takes a heartbeat that was received from another instance.
func (r *Registry) Heard(state *entrypb.State, now time.Time) {
	identity := state.GetIdentity()
	if !r.acceptable(identity) {
		return
	}
	if _, old := r.replaced[identity.GetIncarnation()]; old {
		return
	}
	r.learn(state, now, false)
}

// Answered takes the answer to a heartbeat that this instance sent to the RPC
// address. It proves which incarnation is there now.
func (r *Registry) Answered(rpcAddress string, state *entrypb.State, now time.Time) {
	delete(r.seeds, rpcAddress)
	identity := state.GetIdentity()
	if !r.acceptable(identity) {
		return
	}
	delete(r.replaced, identity.GetIncarnation())
	r.learn(state, now, true)
}

// acceptable refuses states that are malformed or come from this instance.
func (r *Registry) acceptable(identity *entrypb.Identity) bool {
	self := r.config.Self
	return identity.GetName() != "" &&
		identity.GetIncarnation() != "" &&
		identity.GetRpcAddress() != "" &&
		identity.GetName() != self.GetName() &&
		identity.GetIncarnation() != self.GetIncarnation()
}

// learn stores a state and replaces earlier incarnations. Proven says whether
// the state answers a call to its address.
func (r *Registry) learn(state *entrypb.State, now time.Time, proven bool) {
	identity := state.GetIdentity()
	r.replaceAtAddress(identity, proven)
	m := r.members[identity.GetName()]
	if m == nil {
		m = &member{name: identity.GetName()}
		r.members[m.name] = m
		r.contactsDirty = true
		r.indexDirty = true
	}
	answersAgain := !m.failedSince.IsZero()
	if m.incarnation != identity.GetIncarnation() {
		r.markReplaced(m.incarnation, proven)
		m.startIncarnation(identity.GetIncarnation())
		r.indexDirty = true
	}
	if m.domain != identity.GetFailureDomain() || m.region != identity.GetRegion() {
		r.contactsDirty = true
		r.indexDirty = true
	}
	r.setAddress(m, identity.GetRpcAddress())
	m.update(state, now)
	if answersAgain {
		r.contactsDirty = true
		r.retryDomain(m.domain, now)
	}
	size := float64(stateSize(state))
	r.stateBytes += (size - r.stateBytes) * sizeSmoothing
}

// replaceAtAddress removes an instance with another name whose address is now
// used by the identity: two processes cannot have bound the same address.
func (r *Registry) replaceAtAddress(identity *entrypb.Identity, proven bool) {
	old := r.byAddress[identity.GetRpcAddress()]
	if old == nil || old.name == identity.GetName() {
		return
	}
	r.markReplaced(old.incarnation, proven)
	r.remove(old)
}

// setAddress changes the RPC address of a member.
func (r *Registry) setAddress(m *member, rpcAddress string) {
	if r.byAddress[m.rpcAddress] == m {
		delete(r.byAddress, m.rpcAddress)
	}
	m.rpcAddress = rpcAddress
	r.byAddress[rpcAddress] = m
}

func (r *Registry) remove(m *member) {
	delete(r.members, m.name)
	if r.byAddress[m.rpcAddress] == m {
		delete(r.byAddress, m.rpcAddress)
	}
	r.contactsDirty = true
	r.indexDirty = true
}

func (r *Registry) markReplaced(incarnation string, proven bool) {
	if incarnation == "" {
		return
	}
	if len(r.replaced) >= maxReplaced {
		clear(r.replaced)
	}
	r.replaced[incarnation] = r.replaced[incarnation] || proven
}
