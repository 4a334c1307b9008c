package history

import (
	"fmt"
	"slices"

	"github.com/jujubegrade/jujubegrade/internal/standin/runservice"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// openEnd is the end of a run as done that its worker still lists.
type openEnd struct {
	worker ids.InstanceID
	number ids.RunNumber
	// starts describes the starts of the task since the end.
	starts []string
}

// recordOpenEnd records the end of a run as done.
func (j *job) recordOpenEnd(e runservice.Event) {
	j.openEnds[e.Run.Task] = append(j.openEnds[e.Run.Task], &openEnd{worker: e.Worker, number: e.Run.Number})
}

// recordStartAfterEnds records a start of a task of which runs have ended as done. It is a violation once such an end is acknowledged.
func (j *job) recordStartAfterEnds(e runservice.Event) {
	for _, end := range j.openEnds[e.Run.Task] {
		end.starts = append(end.starts, fmt.Sprintf("%s was started as run %d on %s after run %d had ended as done on %s, an end that was acknowledged later", e.Run.Task, e.Run.Number, e.Worker, end.number, end.worker))
	}
}

// checkAcknowledgedEnd checks the starts since an end that is acknowledged now.
func (c *Checker) checkAcknowledgedEnd(e runservice.Event, j *job) {
	j.openEnds[e.Run.Task] = slices.DeleteFunc(j.openEnds[e.Run.Task], func(end *openEnd) bool {
		if end.worker != e.Worker || end.number != e.Run.Number {
			return false
		}
		for _, text := range end.starts {
			c.addViolation("%s", text)
		}
		return true
	})
}

// forgetEnds drops the ends of a worker that has crashed, or whose lease has expired: the platform allows starts after those.
func (c *Checker) forgetEnds(id ids.InstanceID) {
	for _, j := range c.jobs {
		for task, ends := range j.openEnds {
			j.openEnds[task] = slices.DeleteFunc(ends, func(end *openEnd) bool { return end.worker == id })
		}
	}
}
