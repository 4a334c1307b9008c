package pool

import (
	"time"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// fairness gives the jobs of one priority their turns. An account gets on by the time that its guarantee alone would take
	// for what it asks for, so that one that asks for little is not put behind the queue of one that asks for much.
	fairness struct {
		// reached is the turn of the job that was started last, by priority.
		reached map[int]time.Duration
		// ends are the turns at which the work ends that an account has asked for.
		ends map[accountLevel]time.Duration
	}

	accountLevel struct {
		account  ids.AccountID
		priority int
	}
)

// burstAllowance is the work, as the time that its guarantee takes for it, by which an account may be ahead of the others
// before its jobs wait for theirs: a job of usual length, so that only what goes on for longer counts.
const burstAllowance = 10 * time.Second

// turn returns the turn of a job that is handed in now. Jobs of priority 0 go by submission alone: guarantees divide them.
func (f *fairness) turn(j *Job) time.Duration {
	if j.Priority == 0 {
		return 0
	}
	return max(f.reached[j.Priority], f.ends[accountLevel{j.Account, j.Priority}]-burstAllowance)
}

// take gives a job its turn. work is the time that the account's guarantee alone would take for it.
func (f *fairness) take(j *Job, work time.Duration) {
	j.turn, j.charged = f.turn(j), work
	if f.ends == nil {
		f.ends, f.reached = make(map[accountLevel]time.Duration), make(map[int]time.Duration)
	}
	key := accountLevel{j.Account, j.Priority}
	f.ends[key] = max(f.reached[j.Priority], f.ends[key]) + work
}

// giveBack takes back what a job was charged that has ended without a start.
func (f *fairness) giveBack(j *Job) {
	if f.ends != nil {
		f.ends[accountLevel{j.Account, j.Priority}] -= j.charged
	}
}

// started notes that a job is started.
func (f *fairness) started(j *Job) {
	if j.Priority > 0 && j.turn > f.reached[j.Priority] {
		f.reached[j.Priority] = j.turn
	}
}

// work returns the time that the guarantee of a job's account alone would take for the job.
func (s *State) work(j *Job) time.Duration {
	part := float64(max(1, s.accounts[j.Account].Guaranteed)) / float64(max(1, s.total.Accelerators))
	sum := time.Duration(0)
	for _, u := range j.units {
		if u.phase != done {
			sum += time.Duration(share(u.spec().Each.Times(u.count), s.total) / part * float64(s.runTime(u)))
		}
	}
	return sum
}
