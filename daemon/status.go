package daemon

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"

	"samphireferry.example/ferry/buildinfo"
	"samphireferry.example/ferry/config/dynamic"
	"samphireferry.example/ferry/membership"
	"samphireferry.example/ferry/operator"
	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/shift"
)

// controlStatus is the snapshot of the control state for operators. It is
// immutable.
type controlStatus struct {
	leaving         bool
	shareVersion    uint64
	sharesConfirmed bool
	// holdsLease reports whether this instance holds the control lease.
	holdsLease bool
	peers      *membership.Peers
	// operatorAddresses holds the operator addresses by instance name.
	operatorAddresses map[string]string
	moves             []operator.ShiftStatus
	rollouts          []operator.ShiftStatus
}

// publishStatus makes the control state visible to operators.
func (c *control) publishStatus(now time.Time) {
	c.deps.status.Store(&controlStatus{
		leaving:           c.leaving,
		shareVersion:      c.member.Version(),
		sharesConfirmed:   c.member.Confirmed(),
		holdsLease:        c.lease.Held(now),
		peers:             c.ownership.peers,
		operatorAddresses: c.operatorAddresses,
		moves:             c.moveStatuses(now),
		rollouts:          c.rolloutStatuses(now),
	})
}

func (c *control) moveStatuses(now time.Time) []operator.ShiftStatus {
	var objects []dynamic.Move
	if c.table != nil {
		objects = c.table.Set.Moves
	}
	shares := map[string]float64{}
	for _, s := range c.moves.Shares(now, objects) {
		shares[s.Name] = s.Share
	}
	service := func(m dynamic.Move) string { return m.Service }
	return shiftStatuses(c.moves.Tracker, platform.PrefixMoves, service, shares)
}

func (c *control) rolloutStatuses(now time.Time) []operator.ShiftStatus {
	shares := map[string]float64{}
	for _, s := range c.rollouts.Shares(now) {
		shares[s.Name] = s.Share
	}
	service := func(r dynamic.Rollout) string { return r.Service }
	return shiftStatuses(c.rollouts.Driver().Tracker, platform.PrefixRollouts, service, shares)
}

// shiftStatuses returns the status of each shift that has a record, sorted by
// name, with the share that this instance applies.
func shiftStatuses[O comparable](tracker *shift.Tracker[O], prefix string, service func(O) string, shares map[string]float64) []operator.ShiftStatus {
	steps := tracker.Steps()
	statuses := make([]operator.ShiftStatus, 0, len(steps))
	for key, step := range steps {
		name := strings.TrimPrefix(key, prefix)
		r := tracker.Record(name)
		statuses = append(statuses, operator.ShiftStatus{
			Name:    name,
			Service: service(r.Object),
			State:   string(r.State),
			Step:    step,
			Share:   shares[name],
			Reason:  shiftReason(string(r.Reason), r.Detail),
		})
	}
	slices.SortFunc(statuses, func(a, b operator.ShiftStatus) int { return cmp.Compare(a.Name, b.Name) })
	return statuses
}

func shiftReason(reason, detail string) string {
	if detail == "" {
		return reason
	}
	return reason + ": " + detail
}

// Status implements operator.StatusSource.
func (d *dependencies) Status(context.Context) operator.InstanceStatus {
	now := time.Now()
	control := d.status.Load()
	status := operator.InstanceStatus{
		Name:                d.identity.GetName(),
		Incarnation:         d.identity.GetIncarnation(),
		Address:             d.identity.GetAddress(),
		FailureDomain:       d.identity.GetFailureDomain(),
		Region:              d.identity.GetRegion(),
		Release:             buildinfo.Release,
		InvariantViolations: d.invariants.Total(),
	}
	age, known := d.dist.Snapshot().StoreAge(now)
	status.StoreHeard = known
	status.StoreAgeMillis = age.Milliseconds()
	d.addConfigStatus(&status)
	if control != nil {
		control.addTo(&status)
	}
	status.Ready = status.ConfigVersion > 0 && !status.Leaving
	return status
}

// addConfigStatus adds the configuration that traffic goroutines use.
func (d *dependencies) addConfigStatus(status *operator.InstanceStatus) {
	table := d.views.Table()
	if table == nil {
		return
	}
	status.ConfigVersion = table.Version
	status.PublishID = table.PublishID
	for _, key := range table.Set.Keys {
		if key.Withdrawn {
			status.WithdrawnKeys = append(status.WithdrawnKeys, key.Name)
		}
	}
}

func (s *controlStatus) addTo(status *operator.InstanceStatus) {
	status.Leaving = s.leaving
	status.ShareVersion = s.shareVersion
	status.SharesConfirmed = s.sharesConfirmed
	status.Moves = s.moves
	status.Rollouts = s.rollouts
	status.Peers = lo.Map(s.peers.All, func(p *membership.Peer, _ int) operator.PeerStatus {
		return operator.PeerStatus{
			Name:            p.Name,
			OperatorAddress: s.operatorAddresses[p.Name],
			FailureDomain:   p.FailureDomain,
			Health:          p.Health.String(),
			Leaving:         p.Leaving,
			ConfigVersion:   p.State.GetConfigVersion(),
			StoreAgeMillis:  int64(p.State.GetStoreAgeMs()),
		}
	})
}
