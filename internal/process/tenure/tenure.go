// Package tenure orders and times what successive owners have accepted. The times of day of two processes may differ, and that of one process may jump, so nothing here
// rests on them.
package tenure

import (
	"cmp"
	"math"
	"time"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// Acceptance is the place of a job in the order in which jobs were accepted. The owners' claims order their epochs.
	Acceptance struct {
		// Epoch is that of the owner that accepted the job; zero if an earlier version accepted it.
		Epoch ids.Epoch `json:",omitempty"`
		// Number counts the jobs that this owner accepted.
		Number uint64 `json:",omitempty"`
	}

	// Moment is a time on the clock that each owner takes over from its predecessor. It counts the time in which there was an owner; zero means unknown.
	Moment time.Duration

	// Stamp orders and times a job over owners. It is part of the job's record.
	Stamp struct {
		Acceptance
		// Accepted and Ended are when the job was accepted and ended, and Written is when the record was written.
		Accepted Moment `json:",omitempty"`
		Ended    Moment `json:",omitempty"`
		Written  Moment `json:",omitempty"`
	}

	// Clock reads moments. The zero value is the clock of the first owner. It rests on the monotonic clock of the process.
	Clock struct {
		since time.Time
		base  Moment
	}
)

const (
	// origin is the first moment, since the zero one means unknown.
	origin = Moment(time.Millisecond)
	// last is the latest moment that an owner starts from; a malformed record may hold a later one.
	last = Moment(math.MaxInt64 / 2)
)

// Compare orders acceptances.
func (a Acceptance) Compare(b Acceptance) int {
	return cmp.Or(cmp.Compare(a.Epoch, b.Epoch), cmp.Compare(a.Number, b.Number))
}

// Latest returns the latest moment that the stamp shows to have passed.
func (s Stamp) Latest() Moment { return max(s.Accepted, s.Ended, s.Written) }

// Resume continues the clock of earlier owners from the latest moment that they have recorded.
func (c *Clock) Resume(latest Moment, now time.Time) {
	c.base, c.since = min(max(latest, origin), last), now
}

// Moment returns the moment of a time of this process.
func (c *Clock) Moment(at time.Time) Moment {
	if c.since.IsZero() {
		c.Resume(origin, at)
	}
	return max(origin, c.base+Moment(at.Sub(c.since)))
}

// Time returns the time of this process at a moment, which may be before its start.
func (c *Clock) Time(m Moment) time.Time { return c.since.Add(time.Duration(m - c.base)) }
