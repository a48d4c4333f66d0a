package dynamic

import (
	"strings"

	"github.com/samber/lo"
)

// CheckChange returns everything that is wrong in replacing the published set
// by the other. A nil published set allows everything.
func CheckChange(published, set *Set) Faults {
	if published == nil {
		return nil
	}
	c := newChecker(set)
	c.checkNewKeys(published)
	c.checkWithdrawnKeys(published)
	c.checkChangedShifts(published)
	return c.faults
}

// checkNewKeys refuses new keys of customers that have left.
func (c *checker) checkNewKeys(published *Set) {
	left := map[string]bool{}
	for _, customer := range c.set.Customers {
		left[customer.Name] = customer.Left
	}
	type identity struct{ customer, sha256 string }
	had := lo.SliceToMap(published.Keys, func(k Key) (identity, bool) { return identity{k.Customer, k.SHA256}, true })
	for i, key := range c.set.Keys {
		if left[key.Customer] && !had[identity{key.Customer, key.SHA256}] {
			c.object(KindKey, i, key.Name).fault("customer", "customer %q has left; no new key may be added for it", key.Customer)
		}
	}
}

// checkWithdrawnKeys keeps a withdrawn key withdrawn, so that publishing an
// older file does not bring it back.
func (c *checker) checkWithdrawnKeys(published *Set) {
	withdrawn := map[string]bool{}
	for _, key := range published.Keys {
		withdrawn[strings.ToLower(key.SHA256)] = key.Withdrawn
	}
	for i, key := range c.set.Keys {
		if !key.Withdrawn && withdrawn[strings.ToLower(key.SHA256)] {
			c.object(KindKey, i, key.Name).fault("withdrawn", "the published key is withdrawn and stays so; add a new key instead")
		}
	}
}

// checkChangedShifts refuses another move or roll-out under the name of a
// published one, since its progress is recorded under the name.
func (c *checker) checkChangedShifts(published *Set) {
	moves := lo.KeyBy(published.Moves, func(m Move) string { return m.Name })
	for i, move := range c.set.Moves {
		old, existed := moves[move.Name]
		same := old.Service == move.Service && old.From == move.From && old.To == move.To
		if existed && !same {
			c.object(KindMove, i, move.Name).fault("name", "the published move of this name has another service, source or target; use a new name")
		}
	}
	rollouts := lo.KeyBy(published.Rollouts, func(r Rollout) string { return r.Name })
	for i, rollout := range c.set.Rollouts {
		old, existed := rollouts[rollout.Name]
		same := old.Service == rollout.Service && old.From == rollout.From && old.To == rollout.To
		if existed && !same {
			c.object(KindRollout, i, rollout.Name).fault("name", "the published roll-out of this name has another service, source or target; use a new name")
		}
	}
}
