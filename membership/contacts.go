package membership

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Target is one instance to which a heartbeat is to be sent.
type Target struct {
	// Name is empty for a seed that has not responded yet.
	Name       string
	RPCAddress string
}

// Due returns the instances to which a heartbeat is to be sent now, and
// schedules their next one. The owner calls it several times in each interval,
// sends the heartbeats, and reports the result of each with HandleResponse or
// HandleFailure.
func (r *Registry) Due(now time.Time) []Target {
	r.detectPause(now)
	r.chooseContacts(now)
	interval := r.Interval()
	var targets []Target
	for _, m := range r.contacts {
		if m.nextExchange.IsZero() {
			r.schedule(m, interval, latest(m.lastSeen, m.contactSince))
		}
		if now.Before(m.nextExchange) {
			continue
		}
		r.schedule(m, interval, now)
		targets = append(targets, Target{Name: m.name, RPCAddress: m.rpcAddress})
	}
	for address, tried := range r.seeds {
		if now.Sub(tried) >= seedInterval {
			r.seeds[address] = now
			targets = append(targets, Target{RPCAddress: address})
		}
	}
	return targets
}

// AnnounceLeaving makes a heartbeat to every contact due at once. The owner calls
// it when the State that it sends is first marked as leaving.
func (r *Registry) AnnounceLeaving(now time.Time) { r.HeartbeatNow(now) }

// HeartbeatNow makes a heartbeat to every contact due at once. The owner calls
// it when it has information that possibly no peer has.
func (r *Registry) HeartbeatNow(now time.Time) {
	r.chooseContacts(now)
	for _, m := range r.contacts {
		m.nextExchange = now
	}
}

// HeartbeatDomainNow makes a heartbeat to every contact in the local failure
// domain due at once. The owner calls it when it has read something from the
// store that its peers should receive before the next heartbeat.
func (r *Registry) HeartbeatDomainNow(now time.Time) {
	r.chooseContacts(now)
	for _, m := range r.contacts {
		if m.domain == r.config.Self.GetFailureDomain() {
			m.nextExchange = now
		}
	}
}

// Interval returns the time between two heartbeats with a contact. It is at
// least Config.Interval, and longer where ByteBudget or MaxExchangesPerSecond
// requires it.
func (r *Registry) Interval() time.Duration {
	exchanges := 0.0
	for _, m := range r.contacts {
		exchanges += 1 / float64(m.exchangeFactor)
	}
	seconds := exchanges * max(r.avgStateBytes/ByteBudget, 1/MaxExchangesPerSecond)
	step := r.config.Interval / intervalSteps
	steps := math.Ceil(seconds * float64(time.Second) / float64(step))
	return max(r.config.Interval, time.Duration(steps)*step)
}

// schedule sets the next exchange to last plus the interval times the member's
// exchangeFactor, with random jitter.
func (r *Registry) schedule(m *member, interval time.Duration, last time.Time) {
	jitter := 1 + exchangeJitter*(2*r.config.Rand.Float64()-1)
	wait := time.Duration(float64(interval) * float64(m.exchangeFactor) * jitter)
	m.nextExchange = last.Add(wait)
}

// detectPause sets resumed after a gap between two calls in which the owner may
// have missed every heartbeat, so that peers don't become Suspect or Silent
// because of a pause of this instance.
func (r *Registry) detectPause(now time.Time) {
	if now.Sub(r.lastActive) > pauseIntervals*r.Interval() {
		r.resumed = now
	}
	r.lastActive = now
}

// chooseContacts chooses the contacts again if contactsDirty is set or a new
// rotation period has begun.
func (r *Registry) chooseContacts(now time.Time) {
	rotation := now.UnixNano() / int64(RotatePeriod)
	if !r.contactsDirty && rotation == r.rotation {
		return
	}
	r.contactsDirty = false
	r.rotation = rotation
	chosen := r.selectContacts(now)
	r.contacts = r.contacts[:0]
	for _, m := range r.members {
		r.setContact(m, chosen[m], now)
		if m.contact {
			r.contacts = append(r.contacts, m)
		}
	}
	r.slowFailedExchanges()
	slices.SortFunc(r.contacts, func(a, b *member) int { return cmp.Compare(a.name, b.name) })
}

// setContact sets the member's factors and makes it a contact if factor is
// positive. The first heartbeat to a new contact is due at once.
func (r *Registry) setContact(m *member, factor int, now time.Time) {
	if factor > 0 && !m.contact {
		m.contactSince = now
		m.nextExchange = now
	}
	if m.contact != (factor > 0) || m.healthFactor != factor {
		r.touch(m)
	}
	m.contact = factor > 0
	m.healthFactor = factor
	m.exchangeFactor = factor
}

// selectContacts returns the contacts, each with the factor by which its
// heartbeat interval is longer than Interval.
func (r *Registry) selectContacts(now time.Time) map[*member]int {
	chosen := map[*member]int{}
	byDomain := map[string][]*member{}
	for _, m := range r.members {
		inUse := !m.usedAt.IsZero() && now.Sub(m.usedAt) <= UseRetention
		if len(r.members) <= FullMeshLimit || inUse || !m.failedSince.IsZero() {
			chosen[m] = 1
			continue
		}
		byDomain[m.domain] = append(byDomain[m.domain], m)
	}
	for domain, members := range byDomain {
		r.chooseInDomain(chosen, domain, members)
	}
	r.chooseLeaders(chosen)
	return chosen
}

// chooseInDomain adds the contacts among the members of one failure domain.
func (r *Registry) chooseInDomain(chosen map[*member]int, domain string, members []*member) {
	count, factor := r.contactPlan(domain, members[0].region)
	if count == 0 {
		count = len(members)
	}
	if count < len(members) {
		members = highestRanked(members, count, r.config.Self.GetName(), r.rotation)
	}
	for _, m := range members {
		chosen[m] = factor
	}
}

// highestRanked returns the count members whose pair with self has the highest
// hash.
func highestRanked(members []*member, count int, self string, rotation int64) []*member {
	for _, m := range members {
		m.pairHash = pairHash(self, m.name, rotation)
	}
	slices.SortFunc(members, func(a, b *member) int {
		return cmp.Or(cmp.Compare(b.pairHash, a.pairHash), cmp.Compare(a.name, b.name))
	})
	return members[:count]
}

// pairHash returns the rendezvous hash of a pair of names. It is the same for
// both instances of a pair, so that they choose each other and exchange one
// heartbeat instead of two.
func pairHash(a, b string, rotation int64) uint64 {
	if a > b {
		a, b = b, a
	}
	hash := xxhash.NewWithSeed(uint64(rotation))
	_, _ = hash.WriteString(a)
	_, _ = hash.WriteString("\x00")
	_, _ = hash.WriteString(b)
	return hash.Sum64()
}
