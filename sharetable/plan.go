package sharetable

import (
	"time"
)

// nextTable returns the table that should replace the observed one, and whether it
// differs from it.
func (d *Driver) nextTable(now time.Time) (*Table, bool) {
	if d.table == nil {
		return d.initialTable()
	}
	d.trackEmptied(now)
	d.updateAgreements(now)
	p := &plan{driver: d, now: now, next: d.table.clone(), changed: d.revision == 0}
	p.updateIdentities()
	p.lowerDeparting()
	p.reclaim()
	p.remove()
	p.join()
	p.balance()
	return p.next, p.changed
}

// initialTable returns the first table of a system, in which the reachable
// instances divide the whole. Nothing can be in use before there is a table.
func (d *Driver) initialTable() (*Table, bool) {
	p := &plan{driver: d, next: &Table{Version: 1, Members: map[string]Entry{}}}
	p.join()
	p.balance()
	return p.next, p.changed
}

// updateAgreements computes the newest version that all members of each witness
// group had applied at one instant. It skips members that are fenced.
func (d *Driver) updateAgreements(now time.Time) {
	members := map[string][]acknowledgement{}
	for name, e := range d.table.Members {
		if d.fenced(now, name) {
			continue
		}
		ack := d.acks[name]
		if ack.incarnation != e.Incarnation {
			ack = acknowledgement{}
		}
		members[e.WitnessGroup] = append(members[e.WitnessGroup], ack)
	}
	for group, acks := range members {
		if d.groups[group] == nil {
			d.groups[group] = &agreement{}
		}
		d.groups[group].update(now, acks)
	}
}

// plan builds the next table.
type plan struct {
	driver  *Driver
	now     time.Time
	next    *Table
	changed bool
}

func (p *plan) set(name string, e Entry) {
	p.next.Members[name] = e
	p.changed = true
}

// setLimit changes a limit and extends Held to contain it. If the limit loses
// parts, LoweredAt becomes the version of the next table.
func (p *plan) setLimit(name string, limit Ranges) {
	e := p.next.Members[name]
	if e.Limit.Equal(limit) {
		return
	}
	if !limit.Contains(e.Limit) {
		e.LoweredAt = p.next.Version
	}
	e.Held = e.Held.Union(limit)
	e.Limit = limit
	p.set(name, e)
}

// updateIdentities copies the incarnations of reachable instances and the leaving
// flags from the view.
func (p *plan) updateIdentities() {
	for name, e := range p.next.Members {
		c, known := p.driver.view[name]
		if !known {
			continue
		}
		incarnation := e.Incarnation
		if c.Reachable && c.Incarnation != "" {
			incarnation = c.Incarnation
		}
		if incarnation == e.Incarnation && c.Leaving == e.Leaving {
			continue
		}
		e.Incarnation = incarnation
		e.Leaving = c.Leaving
		p.set(name, e)
	}
}

// departing reports whether the member is to be removed.
func (p *plan) departing(name string) bool {
	return p.next.Members[name].Leaving || p.driver.gone(p.now, name)
}

// lowerDeparting empties the limits of members that leave or are gone.
func (p *plan) lowerDeparting() {
	for name := range p.next.Members {
		if p.departing(name) {
			p.setLimit(name, nil)
		}
	}
}

// reclaim reduces Held to Limit where no process can use more than Limit.
func (p *plan) reclaim() {
	for name, e := range p.next.Members {
		if e.heldEqualsLimit() || p.agreedVersion(name, e) < e.LoweredAt {
			continue
		}
		e.Held = e.Limit
		p.set(name, e)
	}
}

// agreedVersion returns the version that all members of the entry's witness group
// had applied at one instant. If all of them are fenced, nothing uses any version,
// and it returns the next one.
func (p *plan) agreedVersion(name string, e Entry) uint64 {
	if p.groupFenced(e.WitnessGroup) {
		return p.next.Version
	}
	group := p.driver.groups[e.WitnessGroup]
	if group == nil {
		return 0
	}
	return group.agreedVersion
}

// groupFenced reports whether all members of the witness group are fenced.
func (p *plan) groupFenced(group string) bool {
	for name, e := range p.next.Members {
		if e.WitnessGroup == group && !p.driver.fenced(p.now, name) {
			return false
		}
	}
	return true
}

// remove drops departing members that hold nothing.
func (p *plan) remove() {
	for name, e := range p.next.Members {
		if p.departing(name) && len(e.Held) == 0 {
			delete(p.next.Members, name)
			p.changed = true
		}
	}
}

// join adds the reachable instances that are not members yet, with empty ranges.
func (p *plan) join() {
	for name, c := range p.driver.view {
		_, member := p.next.Members[name]
		if member || !c.Reachable || c.Leaving || c.Incarnation == "" {
			continue
		}
		p.set(name, Entry{Incarnation: c.Incarnation, WitnessGroup: c.WitnessGroup})
	}
}
