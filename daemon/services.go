package daemon

import (
	"context"
	"net/netip"

	"samphireferry.example/ferry/caller"
	"samphireferry.example/ferry/errkind"
	"samphireferry.example/ferry/requestkeys"
	"samphireferry.example/ferry/routing"
)

// admitter implements caller.Admitter.
type admitter struct {
	deps *dependencies
}

// Admit implements caller.Admitter.
func (a *admitter) Admit(ctx context.Context, customer *routing.Customer) error {
	bucket := a.deps.limiter.Bucket(customer.Name)
	if bucket == nil {
		return errkind.New(errkind.ShareUnconfirmed, "")
	}
	decision := a.deps.limiter.AdmitWait(ctx, bucket)
	if !decision.Admitted && !a.deps.sharesConfirmed.Load() {
		// A peer may have tokens that it could not lend in time.
		return errkind.New(errkind.ShareUnconfirmed, "")
	}
	return decision.Err()
}

// entryList implements caller.EntryInstances.
type entryList struct {
	deps *dependencies
	keys *requestkeys.Service
}

// EntryInstances implements caller.EntryInstances.
func (l *entryList) EntryInstances(address netip.Addr) caller.EntryInstanceList {
	v := l.deps.views.load()
	list := caller.EntryInstanceList{
		TTLSeconds: int(l.deps.settings.ListTTL.Seconds()),
		Home:       l.keys.HomeName(),
		Leaving:    v.leaving,
	}
	if v.directory == nil {
		return list
	}
	for _, row := range v.directory.Order(address, "") {
		if v.leaving && row.Address == l.deps.identity.GetAddress() {
			continue
		}
		list.Instances = append(list.Instances, caller.EntryInstance{
			Address:       row.Address,
			FailureDomain: row.FailureDomain,
			Region:        row.Region,
		})
	}
	return list
}
