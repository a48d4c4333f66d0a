package edge

import (
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/platform/records"
)

const (
	// leaseTTL is how long the entry of an instance that has died remains. Heartbeats
	// detect the failure earlier, so it may be long.
	leaseTTL = 12 * time.Second
	// renewInterval allows for two failed renewals before the lease expires.
	renewInterval = leaseTTL / 3
)

// registrar keeps the entry of this instance in the store.
type registrar struct {
	store platform.Store
	log   *zap.Logger
	key   string
	value []byte
	lease platform.LeaseID
	// firstRead receives the entries of the first read of the store. One of them may be that of an
	// earlier process of this instance.
	firstRead chan []platform.Entry
	// replaced is the revision of the entry that the next registration replaces; 0 for none.
	replaced platform.Revision
	// known is the number of other instances in the first read; readFleet reads them again if it is
	// below assumedFleet. fleetRead is set once it has.
	known, assumedFleet int
	fleetRead           bool
	post                func(event)
}

func newRegistrar(store platform.Store, log *zap.Logger, i records.Instance) (*registrar, error) {
	value, err := records.EncodeInstance(i)
	if err != nil {
		return nil, err
	}
	return &registrar{store: store, log: log, key: records.PrefixInstances + i.Name, value: value, firstRead: make(chan []platform.Entry, 1)}, nil
}

// run registers the instance after the first read of the store and renews its lease until the
// context ends.
func (r *registrar) run(ctx context.Context) {
	select {
	case entries := <-r.firstRead:
		r.noteEntries(entries)
	case <-ctx.Done():
	}
	for ctx.Err() == nil {
		err := r.step(ctx)
		if err == nil {
			r.readFleet(ctx)
			sleep(ctx, renewInterval)
			continue
		}
		if ctx.Err() == nil {
			r.log.Warn("registration or lease renewal failed", zap.Error(err))
		}
		sleep(ctx, retryPause)
	}
}

// step renews the lease, or registers the instance when it has no valid lease.
func (r *registrar) step(ctx context.Context) error {
	if r.lease == 0 {
		return r.register(ctx)
	}
	err := r.store.KeepAlive(ctx, r.lease)
	if errors.Is(err, platform.ErrLeaseExpired) {
		r.lease = 0
		return r.register(ctx)
	}
	return err
}

// noteEntries records which entry the first registration replaces, and how many others there are.
func (r *registrar) noteEntries(entries []platform.Entry) {
	for _, entry := range entries {
		switch {
		case entry.Key == r.key:
			r.replaced = entry.Revision
		case strings.HasPrefix(entry.Key, records.PrefixInstances):
			r.known++
		}
	}
}

// register writes the entry of this instance under a new lease. There is an entry already
// only if this instance has run before and its lease has not expired.
func (r *registrar) register(ctx context.Context) error {
	lease, err := r.store.GrantLease(ctx, leaseTTL)
	if err != nil {
		return err
	}
	expected := r.replaced
	r.replaced = 0
	_, err = r.store.CompareAndSwap(ctx, r.key, r.value, expected, lease)
	if errors.Is(err, platform.ErrConflict) {
		err = r.replace(ctx, lease)
	}
	if err != nil {
		return err
	}
	r.lease = lease
	return nil
}

// replace writes the entry over the one that exists.
func (r *registrar) replace(ctx context.Context, lease platform.LeaseID) error {
	old, err := r.store.Get(ctx, r.key)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	_, err = r.store.CompareAndSwap(ctx, r.key, r.value, old.Revision, lease)
	return err
}

// leave removes the entry by revoking its lease.
func (r *registrar) leave(ctx context.Context) {
	if r.lease == 0 {
		return
	}
	err := r.store.RevokeLease(ctx, r.lease)
	if err != nil {
		r.log.Warn("entry of this instance was not removed", zap.Error(err))
	}
}
