package platform

import (
	"context"
	"time"

	"samphireferry.example/ferry/platform"
)

// lease is one granted lease. It expires when its timer fires.
type lease struct {
	ttl     time.Duration
	expires time.Time
	timer   *time.Timer
}

// GrantLease implements platform.Store.
func (p *Platform) GrantLease(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	faults, err := p.begin(ctx, platform.CallGrantLease)
	if err != nil {
		return 0, err
	}
	id := p.grant(ttl)
	if p.loseResponse(faults) {
		return 0, errResponseLost
	}
	return id, nil
}

func (p *Platform) grant(ttl time.Duration) platform.LeaseID {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nextLease++
	id := p.nextLease
	p.leases[id] = &lease{
		ttl:     ttl,
		expires: time.Now().Add(ttl),
		timer:   time.AfterFunc(ttl, func() { p.expire(id) }),
	}
	return id
}

// KeepAlive implements platform.Store.
func (p *Platform) KeepAlive(ctx context.Context, id platform.LeaseID) error {
	faults, err := p.begin(ctx, platform.CallKeepAlive)
	if err != nil {
		return err
	}
	err = p.renew(id)
	if p.loseResponse(faults) {
		return errResponseLost
	}
	return err
}

func (p *Platform) renew(id platform.LeaseID) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.liveLease(id)
	if l == nil {
		return platform.ErrLeaseExpired
	}
	l.expires = time.Now().Add(l.ttl)
	l.timer.Reset(l.ttl)
	return nil
}

// CloseIdleConnections implements platform.Store.
func (p *Platform) CloseIdleConnections() {}

// RevokeLease implements platform.Store.
func (p *Platform) RevokeLease(ctx context.Context, id platform.LeaseID) error {
	faults, err := p.begin(ctx, platform.CallRevokeLease)
	if err != nil {
		return err
	}
	p.mu.Lock()
	if l := p.leases[id]; l != nil {
		p.removeLease(id, l)
	}
	p.mu.Unlock()
	if p.loseResponse(faults) {
		return errResponseLost
	}
	return nil
}

// liveLease returns the lease, or nil when it has expired. The mutex is held.
func (p *Platform) liveLease(id platform.LeaseID) *lease {
	l := p.leases[id]
	if l == nil {
		return nil
	}
	if !time.Now().Before(l.expires) {
		p.removeLease(id, l)
		return nil
	}
	return l
}

// expire ends the lease when its time is over. A timer that fired early, or just
// before a renewal, is reset.
func (p *Platform) expire(id platform.LeaseID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.liveLease(id); l != nil {
		l.timer.Reset(time.Until(l.expires))
	}
}

// removeLease removes the lease and deletes its keys. The mutex is held.
func (p *Platform) removeLease(id platform.LeaseID, l *lease) {
	l.timer.Stop()
	delete(p.leases, id)
	for key, h := range p.keys {
		if s := h.newest(); s.lease == id && !s.entry.Deleted {
			p.write(key, nil, 0, true)
		}
	}
}
