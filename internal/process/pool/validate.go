package pool

import "github.com/cockroachdb/errors"

// Limits of a job. Its tasks are kept in memory, so a malformed number must not make an owner run out of it.
const (
	// MaxTasks is the maximum number of tasks of a job over all occurrences.
	MaxTasks = 100000
	// MaxSteps is the maximum number of steps of a job.
	MaxSteps = 100
)

// Validate checks the steps and the schedule of a job that comes from a client, another instance or the store. State relies on
// what it checks: a job has units, and its steps depend on earlier ones.
func Validate(steps []Step, schedule Schedule) error {
	if len(steps) == 0 || len(steps) > MaxSteps {
		return errors.Newf("a job must have 1 to %d steps", MaxSteps)
	}
	if schedule.Occurrences < 0 || schedule.Occurrences > MaxTasks {
		return errors.Newf("a job must have 0 to %d occurrences", MaxTasks)
	}
	if schedule.Interval < 0 {
		return errors.New("the interval between occurrences must not be negative")
	}
	tasks := 0
	for i, s := range steps {
		if s.Tasks < 1 || s.Tasks > MaxTasks {
			return errors.Newf("step %d must have 1 to %d tasks", i, MaxTasks)
		}
		if s.Each.Accelerators < 0 || s.Each.Cores < 0 || s.Each.Memory < 0 {
			return errors.Newf("step %d: the resources of a task must not be negative", i)
		}
		for _, earlier := range s.After {
			if earlier < 0 || earlier >= i {
				return errors.Newf("step %d: step %d is not an earlier step", i, earlier)
			}
		}
		if tasks += s.Tasks * schedule.count(); tasks > MaxTasks {
			return errors.Newf("a job must have at most %d tasks over all occurrences", MaxTasks)
		}
	}
	return nil
}
