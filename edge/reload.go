package edge

import (
	"reflect"
	"time"

	"go.uber.org/zap"

	"samphireferry.example/ferry/config/static"
)

// Reload puts the reloadable bounds of the settings in force. Other changes take effect
// at the next start.
func (i *Instance) Reload(next *static.EdgeSettings) {
	restartOnly := *next
	restartOnly.EdgeBounds = i.deps.settings.EdgeBounds
	if !reflect.DeepEqual(&restartOnly, i.deps.settings) {
		i.deps.log.Warn("some changed settings take force at the next start", zap.String("name", i.deps.settings.Name))
	}
	i.control.post(reload{bounds: next.EdgeBounds})
}

// reload replaces the reloadable bounds of the settings.
type reload struct{ bounds static.EdgeBounds }

func (e reload) apply(c *control, now time.Time) {
	if e.bounds == *c.deps.bounds.Load() {
		c.deps.log.Info("settings reloaded", zap.Bool("changed", false))
		return
	}
	c.deps.bounds.Store(&e.bounds)
	c.operator.follower.SetBudget(c.budget())
	c.deps.retries.setBounds(e.bounds)
	if c.table != nil {
		c.configureRates(now, c.table)
	}
	c.deps.log.Info("settings reloaded", zap.Bool("changed", true), zap.Any("bounds", e.bounds))
}
