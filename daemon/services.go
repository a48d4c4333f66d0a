package daemon

import (
	"context"
	"net/netip"
	"sync"

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

// retryBudget implements dispatch.Budget: each request pays for a tenth of a
// retry.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

const (
	retryRatio     = 0.1
	maxRetryTokens = 10
)

func newRetryBudget() *retryBudget { return &retryBudget{tokens: maxRetryTokens} }

// Earn implements dispatch.Budget.
func (b *retryBudget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(maxRetryTokens, b.tokens+retryRatio)
}

// Spend implements dispatch.Budget.
func (b *retryBudget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
