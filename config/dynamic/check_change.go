package dynamic

import (
	"strings"

	"github.com/samber/lo"
)

// CheckChange returns all validation errors of replacing the published set by set.
// A nil published set allows every change.
func CheckChange(published, set *Set) ValidationErrors {
	if published == nil {
		return nil
	}
	c := newChecker(set)
	c.checkNewKeys(published)
	c.checkWithdrawnKeys(published)
	c.checkReusedShiftNames(published)
	return c.errs
}

// checkNewKeys rejects new keys of customers that have left.
func (c *checker) checkNewKeys(published *Set) {
	left := map[string]bool{}
	for _, customer := range c.set.Customers {
		left[customer.Name] = customer.Left
	}
	type identity struct{ customer, sha256 string }
	publishedKeys := lo.SliceToMap(published.Keys, func(k Key) (identity, bool) { return identity{k.Customer, k.SHA256}, true })
	for i, key := range c.set.Keys {
		if left[key.Customer] && !publishedKeys[identity{key.Customer, key.SHA256}] {
			c.forObject(KindKey, i, key.Name).addError("customer", "customer %q has left; no new key may be added for it", key.Customer)
		}
	}
}

// checkWithdrawnKeys rejects a set that makes a withdrawn key valid again, as
// publishing an older file would.
func (c *checker) checkWithdrawnKeys(published *Set) {
	withdrawn := map[string]bool{}
	for _, key := range published.Keys {
		withdrawn[strings.ToLower(key.SHA256)] = key.Withdrawn
	}
	for i, key := range c.set.Keys {
		if !key.Withdrawn && withdrawn[strings.ToLower(key.SHA256)] {
			c.forObject(KindKey, i, key.Name).addError("withdrawn", "the published key is withdrawn and cannot become valid again; add a new key instead")
		}
	}
}

// checkReusedShiftNames rejects a different move or roll-out with the name of a
// published one, since the progress of a shift is recorded under its name.
func (c *checker) checkReusedShiftNames(published *Set) {
	moves := lo.KeyBy(published.Moves, func(m Move) string { return m.Name })
	for i, move := range c.set.Moves {
		old, existed := moves[move.Name]
		same := old.Service == move.Service && old.From == move.From && old.To == move.To
		if existed && !same {
			c.forObject(KindMove, i, move.Name).addError("name", "the published move of this name has another service, source or target; use a new name")
		}
	}
	rollouts := lo.KeyBy(published.Rollouts, func(r Rollout) string { return r.Name })
	for i, rollout := range c.set.Rollouts {
		old, existed := rollouts[rollout.Name]
		same := old.Service == rollout.Service && old.From == rollout.From && old.To == rollout.To
		if existed && !same {
			c.forObject(KindRollout, i, rollout.Name).addError("name", "the published roll-out of this name has another service, source or target; use a new name")
		}
	}
}
