package membership

import (
	"time"

	"samphireferry.example/ferry/rpc/entrypb"
)

// HandleHeartbeat applies a heartbeat that was received from another instance. A
// heartbeat of a replaced incarnation is ignored.
func (r *Registry) HandleHeartbeat(state *entrypb.State, now time.Time) {
	identity := state.GetIdentity()
	if !r.acceptable(identity) {
		return
	}
	if _, isReplaced := r.replaced[identity.GetIncarnation()]; isReplaced {
		return
	}
	r.applyState(state, now, false)
}

// HandleResponse applies the response to a heartbeat that this instance sent to the
// RPC address. The response proves which incarnation has the address now, so it
// also reinstates an incarnation that was considered replaced.
func (r *Registry) HandleResponse(rpcAddress string, state *entrypb.State, now time.Time) {
	delete(r.seeds, rpcAddress)
	identity := state.GetIdentity()
	if !r.acceptable(identity) {
		return
	}
	delete(r.replaced, identity.GetIncarnation())
	r.applyState(state, now, true)
}

// acceptable reports whether the identity is complete and not that of this
// instance.
func (r *Registry) acceptable(identity *entrypb.Identity) bool {
	self := r.config.Self
	return identity.GetName() != "" &&
		identity.GetIncarnation() != "" &&
		identity.GetRpcAddress() != "" &&
		identity.GetName() != self.GetName() &&
		identity.GetIncarnation() != self.GetIncarnation()
}

// applyState stores a state and replaces earlier incarnations. verified means
// that the state is the response to a call that this instance made.
func (r *Registry) applyState(state *entrypb.State, now time.Time, verified bool) {
	identity := state.GetIdentity()
	r.replaceAtAddress(identity, verified)
	m := r.members[identity.GetName()]
	if m == nil {
		m = &member{name: identity.GetName()}
		r.members[m.name] = m
		r.contactsDirty = true
		r.indexDirty = true
	}
	recovered := !m.failedSince.IsZero()
	if m.incarnation != identity.GetIncarnation() {
		r.markReplaced(m.incarnation, verified)
		m.startIncarnation(identity.GetIncarnation())
		r.indexDirty = true
	}
	if m.domain != identity.GetFailureDomain() || m.region != identity.GetRegion() {
		r.contactsDirty = true
		r.indexDirty = true
	}
	r.setAddress(m, identity.GetRpcAddress())
	m.update(state, now)
	r.touch(m)
	if recovered {
		r.contactsDirty = true
		r.scheduleRetries(m.domain, now)
	}
	size := float64(stateSize(state))
	r.avgStateBytes += (size - r.avgStateBytes) * avgStateBytesWeight
}

// replaceAtAddress removes the member with another name at the identity's
// address, because two processes cannot be bound to the same address.
func (r *Registry) replaceAtAddress(identity *entrypb.Identity, verified bool) {
	old := r.byAddress[identity.GetRpcAddress()]
	if old == nil || old.name == identity.GetName() {
		return
	}
	r.markReplaced(old.incarnation, verified)
	r.remove(old)
}

// setAddress changes the RPC address of a member and its entry in byAddress.
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

// markReplaced records that the incarnation was replaced, and whether the
// successor was verified. All records are dropped when maxReplaced is reached.
func (r *Registry) markReplaced(incarnation string, verified bool) {
	if incarnation == "" {
		return
	}
	if len(r.replaced) >= maxReplaced {
		clear(r.replaced)
	}
	r.replaced[incarnation] = r.replaced[incarnation] || verified
}
