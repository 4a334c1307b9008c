package pool

import (
	"cmp"
	"time"

	"github.com/jujubegrade/jujubegrade/internal/process/tenure"
)

// acceptedAt returns when the job was accepted, on the clock of this process.
func (j *Job) acceptedAt() time.Time {
	if j.recovered {
		return j.acceptedBefore
	}
	return j.Submitted
}

// age returns the time since the job's acceptance.
func (j *Job) age(now time.Time) time.Duration { return now.Sub(j.acceptedAt()) }

// compareRecovered orders jobs by acceptance. Those that an earlier version accepted come first; their records hold nothing but the time of day.
func compareRecovered(a, b *Job) int {
	if a.stamp.Epoch == 0 && b.stamp.Epoch == 0 {
		return cmp.Or(a.Submitted.Compare(b.Submitted), cmp.Compare(a.ID, b.ID))
	}
	return cmp.Or(a.stamp.Compare(b.stamp.Acceptance), cmp.Compare(a.ID, b.ID))
}

// resumeClock continues the clock of earlier owners.
func (s *State) resumeClock(jobs []*Job, now time.Time) {
	latest := tenure.Moment(0)
	for _, j := range jobs {
		latest = max(latest, j.stamp.Latest())
	}
	s.clock.Resume(latest, now)
}

// restoreStamp converts the stamp of a recovered job to the clock of this process. A job that an earlier version accepted or ended counts from now on. Jobs are restored
// in the order of compareRecovered.
func (s *State) restoreStamp(j *Job, now time.Time) {
	if j.stamp.Epoch == 0 {
		s.unnumbered++
		j.stamp.Number = s.unnumbered
	}
	if j.stamp.Accepted == 0 {
		j.stamp.Accepted = s.clock.Moment(now)
	}
	if j.stamp.Ended == 0 && j.ended() {
		j.stamp.Ended = s.clock.Moment(now)
	}
	j.acceptedBefore = s.clock.Time(j.stamp.Accepted)
}
