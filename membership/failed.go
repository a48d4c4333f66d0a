package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// RetryPeriod is the time over which the failed instances of a failure domain
// are contacted again after one of them has responded.
const RetryPeriod = time.Minute

// contactPlan returns the number of contacts in a failure domain when there are
// more than FullMeshLimit peers, and the factor by which their heartbeat
// interval is longer. A count of 0, for the local domain, means that every
// instance is a contact.
func (r *Registry) contactPlan(domain, region string) (count, factor int) {
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

// slowFailedExchanges reduces how often failed instances are contacted in each
// other domain where they outnumber its contacts: all of them together are
// contacted as often as the contacts. This keeps the heartbeat interval of a
// region that is cut off for long from growing as calls to more and more
// instances outside it fail.
func (r *Registry) slowFailedExchanges() {
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
		count, factor := r.contactPlan(m.domain, m.region)
		if m.failedSince.IsZero() || count == 0 || failed[m.domain] <= count {
			continue
		}
		m.exchangeFactor = factor * (failed[m.domain] + count - 1) / count
	}
}

// scheduleRetries brings forward the exchanges with the failed instances of the
// domain after one of them has responded. The exchanges are spread over
// RetryPeriod.
func (r *Registry) scheduleRetries(domain string, now time.Time) {
	if now.Sub(r.lastRetry[domain]) < RetryPeriod {
		return
	}
	r.lastRetry[domain] = now
	for _, m := range r.contacts {
		if m.domain != domain || m.failedSince.IsZero() {
			continue
		}
		retry := now.Add(hashOffset(m.name, RetryPeriod))
		if retry.Before(m.nextExchange) {
			m.nextExchange = retry
		}
	}
}

// hashOffset returns an offset within the period that depends on the name.
func hashOffset(name string, period time.Duration) time.Duration {
	return time.Duration(xxhash.Sum64String(name) % uint64(period))
}
