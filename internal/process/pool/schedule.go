package pool

import "time"

// Schedule makes the steps of a job run at several times, independently. With the zero value they run once, without delay.
type Schedule struct {
	// Occurrences is the number of times the steps run.
	Occurrences int
	// First is the wall-clock time at which the first occurrence is due. Interval is the period; occurrences may overlap.
	First    time.Time
	Interval time.Duration
}

// count returns the number of occurrences.
func (s Schedule) count() int { return max(1, s.Occurrences) }

// due returns the earliest start of an occurrence; zero if it may start at once.
func (s Schedule) due(occurrence int) time.Time {
	if s.Occurrences == 0 {
		return time.Time{}
	}
	// The sum of the intervals may exceed the longest duration, which is 292 years.
	seconds, rest := int64(s.Interval/time.Second), s.Interval%time.Second
	n := int64(occurrence)
	return time.Unix(s.First.Unix()+n*seconds, int64(s.First.Nanosecond())).Add(time.Duration(n) * rest)
}

// releaseTime returns the time from which a unit's objective is measured: its job's acceptance, or its occurrence's due time.
func (u *unit) releaseTime() time.Time {
	if u.job.Schedule.Occurrences == 0 {
		return u.job.acceptedAt()
	}
	return u.job.Schedule.due(u.occurrence)
}

// isDue reports whether a unit's occurrence may start.
func (u *unit) isDue(now time.Time) bool { return !now.Before(u.job.Schedule.due(u.occurrence)) }

// startDelay returns how long a unit must not start yet. The end of its backoff is on the monotonic clock and its due time is a time of day, so that only their distances from
// now can be compared.
func (u *unit) startDelay(now time.Time) time.Duration {
	return max(u.notBefore.Sub(now), u.job.Schedule.due(u.occurrence).Sub(now))
}

// elapsed returns the number of leading occurrences that are done.
func (j *Job) elapsed() int {
	first := j.opened
	for _, u := range j.units {
		if u.phase != done {
			first = min(first, u.occurrence)
		}
	}
	return first
}
