package owner

import (
	"slices"
	"time"

	"github.com/jujubegrade/jujubegrade/internal/connection/store"
	"github.com/jujubegrade/jujubegrade/internal/process/placement"
	"github.com/jujubegrade/jujubegrade/internal/process/tenure"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// retiredJob is a job that ended under an earlier owner.
type retiredJob struct {
	id       ids.JobID
	revision store.Revision
	ended    tenure.Moment
}

// resumeClock continues the clock of earlier owners from the latest moment in their records. Jobs that an earlier version accepted or ended count from now on, in the order
// of their submission: their records hold nothing but the time of day.
func (t *term) resumeClock(latest tenure.Moment, records []*Record, now time.Time) {
	t.clock.Resume(latest, now)
	var unstamped []*Record
	for _, r := range records {
		if r.Stamp.Accepted == 0 {
			unstamped = append(unstamped, r)
		}
	}
	slices.SortStableFunc(unstamped, func(a, b *Record) int { return a.Submitted.Compare(b.Submitted) })
	for i, r := range unstamped {
		r.Stamp.Accepted = t.clock.Moment(now) - tenure.Moment(len(unstamped)-i)
	}
	for i := range t.retired {
		if t.retired[i].ended == 0 {
			t.retired[i].ended = t.clock.Moment(now)
		}
	}
}

// stamp times a record that is about to be written.
func (t *term) stamp(r *Record, j *placement.Job) {
	r.Stamp = tenure.Stamp{Accepted: t.clock.Moment(j.AcceptanceTime()), Written: t.clock.Moment(time.Now())}
	if !j.Started.IsZero() {
		r.Began = t.clock.Moment(j.Started)
	}
	if !j.Finished.IsZero() {
		r.Stamp.Ended = t.clock.Moment(j.Finished)
	}
}

// acceptedAt returns when the job of a record was accepted, on the clock of this process.
func (t *term) acceptedAt(r *Record, now time.Time) time.Time {
	if r.Stamp.Accepted == 0 {
		return now
	}
	return t.clock.Time(r.Stamp.Accepted)
}

// startedAt returns when the attempt of a record began, on the clock of this process.
func (t *term) startedAt(r *Record, now time.Time) time.Time {
	if r.Began == 0 {
		return now
	}
	return t.clock.Time(r.Began)
}

// purgeRetired deletes the records of jobs that ended under earlier owners, once their retention is over.
func (t *term) purgeRetired(now time.Time) {
	limit := maxPurgedPerRound
	t.retired = slices.DeleteFunc(t.retired, func(j retiredJob) bool {
		if limit == 0 || time.Duration(t.clock.Moment(now)-j.ended) < t.config.Policy.Retention {
			return false
		}
		limit--
		t.deleteRecord(j.id, j.revision)
		t.forgetUnknownJob(j.id)
		return true
	})
}
