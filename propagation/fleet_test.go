package propagation

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/samber/lo"
	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/platform"
)

// fleet simulates the way of one change of the operator's records through all instances.
type fleet struct {
	random    *rand.Rand
	budget    Budget
	now       time.Duration
	queue     eventQueue
	instances []*simulated
	// lost is the fraction of the messages that are sent again after retransmitAfter.
	lost float64
}

// simulated is one instance of a fleet.
type simulated struct {
	name     string
	domain   int
	leads    bool
	frozen   bool
	slow     bool
	follower *Follower
	// inForceAt is when the change was in force; 0 before.
	inForceAt time.Duration
	reads     int
}

type timedEvent struct {
	at  time.Duration
	run func()
}

type eventQueue []timedEvent

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(a, b int) bool { return q[a].at < q[b].at }
func (q eventQueue) Swap(a, b int)      { q[a], q[b] = q[b], q[a] }
func (q *eventQueue) Push(e any)        { *q = append(*q, e.(timedEvent)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

const (
	simulatedRevision platform.Revision = 7
	simulatedTick                       = 100 * time.Millisecond
	retransmitAfter                     = 200 * time.Millisecond
	domainsPerRegion                    = 3
)

func newFleet(seed uint64, instances, domains int) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, seed)), budget: NewBudget(testBound)}
	for n := range instances {
		domain := n * domains / instances
		f.instances = append(f.instances, &simulated{
			name:     fmt.Sprintf("%02d-%03d", domain, n),
			domain:   domain,
			leads:    n == 0 || f.instances[n-1].domain != domain,
			follower: NewFollower(f.budget, rand.New(rand.NewPCG(seed, uint64(n)))),
		})
	}
	return f
}

func (f *fleet) at(delay time.Duration, run func()) {
	heap.Push(&f.queue, timedEvent{f.now + delay, run})
}

// delay returns the time until an instance has handled a message: of the link, and of the
// instance, which is busy.
func (f *fleet) delay(from, to *simulated) time.Duration {
	link := 2 * time.Millisecond
	if from.domain/domainsPerRegion != to.domain/domainsPerRegion {
		link = 13 * time.Millisecond
	}
	work := time.Duration(f.random.Int64N(int64(20 * time.Millisecond)))
	if from.slow || to.slow {
		work *= 5
	}
	return link + work
}

// send delivers a message, unless one of the instances is frozen.
func (f *fleet) send(from, to *simulated, receive func()) {
	if from.frozen || to.frozen {
		return
	}
	delay := f.delay(from, to)
	for f.random.Float64() < f.lost {
		delay += retransmitAfter
	}
	f.at(delay, receive)
}

// tell announces the change to the first instance of the chain, and to the next one when
// there is no response in time.
func (f *fleet) tell(from *simulated, chain []*simulated) {
	if len(chain) == 0 {
		return
	}
	to, responded := chain[0], false
	f.send(from, to, func() {
		to.follower.Announced(testNow.Add(f.now), from.name, f.distance(from, to), simulatedRevision)
		f.read(to)
		f.send(to, from, func() { responded = true })
	})
	f.at(f.budget.Hedge(), func() {
		if !responded {
			f.tell(from, chain[1:])
		}
	})
}

// putInForce puts the change in force at the instance, which announces it. It was read from
// another instance, or from the store if that is nil.
func (f *fleet) putInForce(i, from *simulated) {
	if i.inForceAt != 0 {
		return
	}
	i.inForceAt = f.now
	i.follower.Covered(simulatedRevision)
	var ring []string
	byName := map[string]*simulated{}
	position := 0
	for _, other := range f.instances {
		if other == i {
			position = len(ring)
			continue
		}
		ring = append(ring, other.name)
		byName[other.name] = other
		fromOutside := from == nil || from.domain != i.domain
		if fromOutside && other.domain == i.domain || from == nil && i.leads && other.leads {
			f.tell(i, []*simulated{other})
		}
	}
	for _, chain := range Contacts(i.name, ring, position) {
		f.tell(i, lo.Map(chain, func(name string, _ int) *simulated { return byName[name] }))
	}
}

func (f *fleet) distance(a, b *simulated) Distance {
	switch {
	case a.domain == b.domain:
		return SameDomain
	case a.domain/domainsPerRegion == b.domain/domainsPerRegion:
		return SameRegion
	}
	return OtherRegion
}

// read starts the reads that are due at the instance.
func (f *fleet) read(i *simulated) {
	for {
		name, due := i.follower.Next(testNow.Add(f.now), i.leads)
		if !due {
			return
		}
		i.reads++
		started := testNow.Add(f.now)
		done := false
		var from *simulated
		finish := func(err error) {
			if done {
				return
			}
			done = true
			if err == nil {
				f.putInForce(i, from)
			}
			i.follower.Done(testNow.Add(f.now), name, started, err)
			f.read(i)
		}
		f.at(f.budget.ReadTimeout(), func() { finish(errTest) })
		if name == Store {
			f.at(20*time.Millisecond, func() { finish(nil) })
			continue
		}
		from = f.instances[slices.IndexFunc(f.instances, func(s *simulated) bool { return s.name == name })]
		f.send(i, from, func() { f.send(from, i, func() { finish(nil) }) })
	}
}

// run lets the readers learn of a change from the store at 0 and simulates the time until
// the bound.
func (f *fleet) run() {
	for _, i := range f.instances {
		if i.leads && !i.frozen {
			f.at(f.delay(i, i), func() { f.putInForce(i, nil) })
		}
		for tick := time.Duration(f.random.Int64N(int64(simulatedTick))); tick < testBound; tick += simulatedTick {
			f.at(tick, func() {
				if !i.frozen {
					f.read(i)
				}
			})
		}
	}
	for f.queue.Len() > 0 {
		e := heap.Pop(&f.queue).(timedEvent)
		f.now = e.at
		e.run()
	}
}

// Guards against a configuration that depends on one instance (CONFIG, HOME): every instance
// that runs has the change within its budget, a third of the bound, whichever instances are
// frozen, slow, or lose messages.
func TestAChangeReachesEveryInstanceWithinTheBudget(t *testing.T) {
	sizes := []struct{ instances, domains int }{{10, 6}, {59, 6}, {85, 9}, {300, 12}}
	faults := map[string]func(f *fleet){
		"none":           func(*fleet) {},
		"frozen leaders": func(f *fleet) { freezeLeaders(f, 3) },
		"frozen and slow": func(f *fleet) {
			freezeLeaders(f, 2)
			for _, i := range f.instances {
				i.frozen = i.frozen || f.random.Float64() < 0.1
				i.slow = f.random.Float64() < 0.2
			}
		},
		"lost messages": func(f *fleet) { f.lost = 0.1 },
	}
	for name, inject := range faults {
		t.Run(name, func(t *testing.T) {
			for _, size := range sizes {
				for seed := range uint64(20) {
					f := newFleet(seed, size.instances, size.domains)
					inject(f)
					f.run()
					for _, i := range f.instances {
						if i.frozen {
							continue
						}
						inTime := i.inForceAt > 0 && i.inForceAt <= f.budget.Total()
						assert.Assert(t, inTime, "%d instances, seed %d: %s (leads %v) after %v", size.instances, seed, i.name, i.leads, i.inForceAt)
					}
				}
			}
		})
	}
}

// freezeLeaders freezes the leaders of the last n failure domains.
func freezeLeaders(f *fleet, n int) {
	domains := f.instances[len(f.instances)-1].domain + 1
	for _, i := range f.instances {
		i.frozen = i.leads && i.domain >= domains-n
	}
}

// Guards against a change that every instance reads several times.
func TestAChangeIsReadOnceByMostInstances(t *testing.T) {
	f := newFleet(1, 85, 9)
	f.run()
	worst := slices.MaxFunc(f.instances, func(a, b *simulated) int { return cmp.Compare(a.reads, b.reads) })
	total := 0
	for _, i := range f.instances {
		total += i.reads
	}
	assert.Assert(t, total <= len(f.instances)*5/4, "%d reads, %d at %s", total, worst.reads, worst.name)
}
