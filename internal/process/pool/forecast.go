package pool

import "time"

// forecast is the wait that was expected for a job when it was admitted. It is not stored, so the next owner has none.
type forecast struct {
	wait time.Duration
	// isKnown is set if the forecast was made: the job was due at its submission, to this owner.
	isKnown bool
}

// ExpectedWait returns the time to a job's first start that was expected at its admission, and whether there was such a forecast.
func (j *Job) ExpectedWait() (time.Duration, bool) { return j.forecast.wait, j.forecast.isKnown }

// guaranteedWait returns the expected wait of a job that a guarantee covers. It makes no preemption plan, since the job is admitted
// in any case and the plan would be made twice.
func (s *State) guaranteedWait(j *Job, now time.Time) time.Duration {
	if s.findPlacement(j.units[0], now, 0) != nil {
		return s.Lag
	}
	return s.Lag + s.expectedStopTime()
}
