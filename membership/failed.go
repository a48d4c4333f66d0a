package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// RetryPeriod is the time over which the instances of a failure domain that did
// not answer are contacted again when one of them has.
const RetryPeriod = time.Minute

// contactsOf returns the number of contacts in a failure domain of more than
// FullMeshLimit instances, and how many times less often they are contacted. It
// returns 0 contacts for the own domain, in which all are.
func (r *Registry) contactsOf(domain, region string) (count, factor int) {
	self := r.config.Self
	switch {
	case domain == self.GetFailureDomain():
		return 0, 1
	case region == self.GetRegion():
		return NearContacts, 1
	default:
		return FarContacts, FarFactor
	}
}

// spaceFailed contacts the instances that do not answer less often, where they
// are more than the contacts of their domain: together as often as the contacts
// are. A region that is cut off for long thus keeps its heartbeat interval,
// although ever more instances outside are found not to answer.
func (r *Registry) spaceFailed() {
	if len(r.members) <= FullMeshLimit {
		return
	}
	failed := map[string]int{}
	for _, m := range r.contacts {
		if !m.failedSince.IsZero() {
			failed[m.domain]++
		}
	}
	for _, m := range r.contacts {
		count, factor := r.contactsOf(m.domain, m.region)
		if m.failedSince.IsZero() || count == 0 || failed[m.domain] <= count {
			continue
		}
		m.spacing = factor * (failed[m.domain] + count - 1) / count
	}
}

// retryDomain brings forward the exchanges with the instances of the domain
// that do not answer, because one that did not answer before now has. They are
// spread over RetryPeriod.
func (r *Registry) retryDomain(domain string, now time.Time) {
	if now.Sub(r.retried[domain]) < RetryPeriod {
		return
	}
	r.retried[domain] = now
	for _, m := range r.contacts {
		if m.domain != domain || m.failedSince.IsZero() {
			continue
		}
		retry := now.Add(spread(m.name, RetryPeriod))
		if retry.Before(m.nextExchange) {
			m.nextExchange = retry
		}
	}
}

// spread returns a part of the period that depends on the name.
func spread(name string, period time.Duration) time.Duration {
	return time.Duration(xxhash.Sum64String(name) % uint64(period))
}
