package edge

import (
	"reflect"
	"time"

	"go.uber.org/zap"

	"samphireferry.example/ferry/config/static"
)

// Reload puts the bounds of the settings in force. What else has changed waits for
// the next start.
func (i *Instance) Reload(next *static.EdgeSettings) {
	later := *next
	later.EdgeBounds = i.parts.settings.EdgeBounds
	if !reflect.DeepEqual(&later, i.parts.settings) {
		i.parts.log.Warn("some changed settings take force at the next start", zap.String("name", i.parts.settings.Name))
	}
	i.control.post(reload{bounds: next.EdgeBounds})
}

// reload replaces the bounds of the settings.
type reload struct{ bounds static.EdgeBounds }

func (e reload) apply(c *control, now time.Time) {
	if e.bounds == *c.parts.bounds.Load() {
		c.parts.log.Info("settings reloaded", zap.Bool("changed", false))
		return
	}
	c.parts.bounds.Store(&e.bounds)
	c.parts.retries.setBounds(e.bounds)
	c.rollouts.setShare()
	if c.table != nil {
		c.configureRates(now, c.table)
	}
	c.parts.log.Info("settings reloaded", zap.Bool("changed", true), zap.Any("bounds", e.bounds))
}
