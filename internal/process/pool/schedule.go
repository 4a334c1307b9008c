package pool

import "time"

// Schedule lets the steps of a job run at several times, each by itself. The zero value lets them run once, at once.
type Schedule struct {
	// Occurrences is how often the steps run.
	Occurrences int
	// First is when the first occurrence is due, by the time of day, and Interval the time to each further one. They may overlap.
	First    time.Time
	Interval time.Duration
}

// count returns the number of occurrences.
func (s Schedule) count() int { return max(1, s.Occurrences) }

// due returns when an occurrence may start; zero if at once.
func (s Schedule) due(occurrence int) time.Time {
	if s.Occurrences == 0 {
		return time.Time{}
	}
	return s.First.Add(time.Duration(occurrence) * s.Interval)
}

// begins returns the time from which a unit's objective counts: its job's submission, or when its occurrence is due.
func (u *unit) begins() time.Time {
	if u.job.Schedule.Occurrences == 0 {
		return u.job.Submitted
	}
	return u.job.Schedule.due(u.occurrence)
}

// isDue reports whether a unit's occurrence may start.
func (u *unit) isDue(now time.Time) bool { return !now.Before(u.job.Schedule.due(u.occurrence)) }

// elapsed returns the number of leading occurrences that are done.
func (j *Job) elapsed() int {
	first := j.Schedule.count()
	for _, u := range j.units {
		if u.phase != done {
			first = min(first, u.occurrence)
		}
	}
	return first
}
