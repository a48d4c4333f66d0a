package platform

import (
	"context"
	"slices"
	"time"

	"samphireferry.example/ferry/platform"
)

// instanceList is the list of instances from a time on.
type instanceList struct {
	since time.Time
	rows  []platform.Instance
}

// SetInstances replaces the list of instances. Instances returns it after the lag.
func (p *Platform) SetInstances(rows []platform.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addInstances(slices.Clone(rows))
}

// SetInstance adds the instance, or replaces the one with its name.
func (p *Platform) SetInstance(row platform.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	rows := withoutInstance(p.trueInstances(), row.Name)
	p.addInstances(append(rows, row))
}

// RemoveInstance removes the instance with the name from the list.
func (p *Platform) RemoveInstance(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addInstances(withoutInstance(p.trueInstances(), name))
}

// TrueInstances returns the list without lag.
func (p *Platform) TrueInstances() []platform.Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.trueInstances())
}

// Instances implements platform.InstanceLister.
func (p *Platform) Instances(ctx context.Context) ([]platform.Instance, error) {
	faults, err := p.begin(ctx, platform.CallInstances)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.instancesAt(time.Now().Add(-time.Duration(faults.InstanceLag)))), nil
}

// addInstances makes the list the current one. The mutex is held.
func (p *Platform) addInstances(rows []platform.Instance) {
	p.instances = append(p.instances, instanceList{since: time.Now(), rows: rows})
	if len(p.instances) > instanceHistory {
		p.instances = slices.Delete(p.instances, 0, 1)
	}
}

// instanceHistory is the number of lists that are kept for calls with a lag.
const instanceHistory = 256

func (p *Platform) trueInstances() []platform.Instance {
	return p.instances[len(p.instances)-1].rows
}

// instancesAt returns the list at the time, or the oldest one kept.
func (p *Platform) instancesAt(when time.Time) []platform.Instance {
	for i := len(p.instances) - 1; i > 0; i-- {
		if !p.instances[i].since.After(when) {
			return p.instances[i].rows
		}
	}
	return p.instances[0].rows
}

func withoutInstance(rows []platform.Instance, name string) []platform.Instance {
	return slices.DeleteFunc(slices.Clone(rows), func(row platform.Instance) bool { return row.Name == name })
}
