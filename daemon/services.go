package daemon

import (
	"context"
	"net/netip"

	"samphireferry.example/ferry/admission"
	"samphireferry.example/ferry/caller"
	"samphireferry.example/ferry/errkind"
	"samphireferry.example/ferry/requestkeys"
	"samphireferry.example/ferry/routing"
)

// admitter implements caller.Admitter.
type admitter struct {
	limiter *admission.Limiter
}

// Admit implements caller.Admitter.
func (a *admitter) Admit(ctx context.Context, customer *routing.Customer) error {
	bucket := a.limiter.Bucket(customer.Name)
	if bucket == nil {
		return errkind.New(errkind.ShareUnconfirmed, "")
	}
	return a.limiter.AdmitWait(ctx, bucket).Err()
}

// entryList implements caller.EntryInstances.
type entryList struct {
	parts *parts
	keys  *requestkeys.Service
}

// EntryInstances implements caller.EntryInstances.
func (l *entryList) EntryInstances(address netip.Addr) caller.EntryInstanceList {
	v := l.parts.views.load()
	list := caller.EntryInstanceList{
		TTLSeconds: int(l.parts.settings.ListTTL.Seconds()),
		Home:       l.keys.HomeName(),
	}
	if v.directory == nil {
		return list
	}
	for _, row := range v.directory.Order(address, "") {
		if v.leaving && row.Address == l.parts.identity.GetAddress() {
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
