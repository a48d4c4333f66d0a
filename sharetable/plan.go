package sharetable

import (
	"time"
)

// next returns the table that should follow the observed one, and whether it
// differs from it.
func (d *Driver) next(now time.Time) (*Table, bool) {
	if d.table == nil {
		return d.first()
	}
	d.countEmptied(now)
	d.updateAgreements(now)
	p := &plan{driver: d, now: now, next: d.table.clone(), changed: d.revision == 0}
	p.identify()
	p.lowerDeparting()
	p.settle()
	p.remove()
	p.join()
	p.balance()
	return p.next, p.changed
}

// first returns the table with which a system starts: the reachable instances
// divide the whole. Nothing can be in use before there is a table.
func (d *Driver) first() (*Table, bool) {
	p := &plan{driver: d, next: &Table{Version: 1, Members: map[string]Entry{}}}
	p.join()
	p.balance()
	return p.next, p.changed
}

// updateAgreements finds the newest version that each witness group had
// applied at one instant.
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

// plan is one table in the making.
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

// setLimit changes a limit and raises Held with it. A lowered limit is
// marked with the version of the plan.
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

// identify takes over the incarnations and the leaving marks of the view.
func (p *plan) identify() {
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

// departing says whether the member is to be removed.
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

// settle cuts Held to Limit where no process can use more than Limit.
func (p *plan) settle() {
	for name, e := range p.next.Members {
		if e.settled() || p.agreed(name, e) < e.LoweredAt {
			continue
		}
		e.Held = e.Limit
		p.set(name, e)
	}
}

// agreed returns the version that the member and its witness group have. When
// all of them are gone, there is nobody left to use any version.
func (p *plan) agreed(name string, e Entry) uint64 {
	if p.groupFenced(e.WitnessGroup) {
		return p.next.Version
	}
	group := p.driver.groups[e.WitnessGroup]
	if group == nil {
		return 0
	}
	return group.agreed
}

func (p *plan) groupFenced(group string) bool {
	for name, e := range p.next.Members {
		if e.WitnessGroup == group && !p.driver.fenced(p.now, name) {
			return false
		}
	}
	return true
}

// remove drops members that depart and hold nothing.
func (p *plan) remove() {
	for name, e := range p.next.Members {
		if p.departing(name) && len(e.Held) == 0 {
			delete(p.next.Members, name)
			p.changed = true
		}
	}
}

// join adds the reachable instances that are not members, with nothing.
func (p *plan) join() {
	for name, c := range p.driver.view {
		_, member := p.next.Members[name]
		if member || !c.Reachable || c.Leaving || c.Incarnation == "" {
			continue
		}
		p.set(name, Entry{Incarnation: c.Incarnation, WitnessGroup: c.WitnessGroup})
	}
}
