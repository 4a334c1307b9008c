package history

import (
	"time"

	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// stray is a run that a late order has started in a new process of its worker, before any call that could have kept it from that.
type stray struct {
	worker ids.InstanceID
	run    worker.Run
}

// maxStrayTime is how long a stray run may be active: the longest lease, after which it ends if no owner reaches its worker, and the time in which an owner that does has
// to stop it, as the platform specifies for tasks that are started late.
const maxStrayTime = 6*time.Second + stabilityWindow + 400*time.Millisecond

// endStray checks how long a run was active if it was a stray one.
func (c *Checker) endStray(s stray) {
	if since, found := c.strays[s]; found && time.Since(since) > maxStrayTime {
		c.addViolation("%s, which was started late on %s, was stopped only after %v", s.run.Task, s.worker, time.Since(since))
	}
	delete(c.strays, s)
}

// forgetStrays removes the stray runs of a worker that has crashed.
func (c *Checker) forgetStrays(id ids.InstanceID) {
	for s := range c.strays {
		if s.worker == id {
			c.endStray(s)
		}
	}
}
