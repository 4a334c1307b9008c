package pool

import (
	"time"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// fairQueue orders the jobs of one priority by start-time fair queueing. An account's tags advance by the time that its
	// guarantee alone would take for its jobs, so that a small account does not wait behind a large account's queue.
	fairQueue struct {
		// virtualTime is the highest start tag of a started job, by priority.
		virtualTime map[int]time.Duration
		// finishTags holds the virtual times at which the work submitted by each account ends.
		finishTags map[accountPriority]time.Duration
	}

	accountPriority struct {
		account  ids.AccountID
		priority int
	}
)

// burstAllowance is the work, as time on the account's guarantee alone, by which an account may run ahead before its jobs
// wait for those of others. It is the length of a usual job, so that only sustained excess counts.
const burstAllowance = 10 * time.Second

// startTag returns the start tag of a job submitted now. Jobs of priority 0 are ordered by submission time, since
// guarantees already divide the capacity between accounts.
func (f *fairQueue) startTag(j *Job) time.Duration {
	if j.Priority == 0 {
		return 0
	}
	return max(f.virtualTime[j.Priority], f.finishTags[accountPriority{j.Account, j.Priority}]-burstAllowance)
}

// enqueue assigns a job's start tag. work is the time that the account's guarantee alone would take for the job.
func (f *fairQueue) enqueue(j *Job, work time.Duration) {
	j.startTag, j.charge = f.startTag(j), work
	if f.finishTags == nil {
		f.finishTags, f.virtualTime = make(map[accountPriority]time.Duration), make(map[int]time.Duration)
	}
	key := accountPriority{j.Account, j.Priority}
	f.finishTags[key] = max(f.virtualTime[j.Priority], f.finishTags[key]) + work
}

// refund takes back the charge of a job that ended before it was started.
func (f *fairQueue) refund(j *Job) {
	if f.finishTags != nil {
		f.finishTags[accountPriority{j.Account, j.Priority}] -= j.charge
	}
}

// advance moves the virtual time forward when a job is started.
func (f *fairQueue) advance(j *Job) {
	if j.Priority > 0 && j.startTag > f.virtualTime[j.Priority] {
		f.virtualTime[j.Priority] = j.startTag
	}
}

// serviceTime returns the time that the guarantee of a job's account alone would take for the job.
func (s *State) serviceTime(j *Job) time.Duration {
	guaranteedShare := float64(max(1, s.accounts[j.Account].Guaranteed)) / float64(max(1, s.total.Accelerators))
	open := make([]int, len(j.Steps))
	for i, step := range j.Steps {
		open[i] = step.units() * (j.Schedule.count() - j.opened)
	}
	for _, st := range j.stages {
		open[st.stepKey.step] += len(st.units) - st.inPhase[done]
	}
	sum := time.Duration(0)
	for i, step := range j.Steps {
		if open[i] > 0 {
			share := dominantShare(step.Each.Times(step.Tasks/step.units()), s.total)
			sum += time.Duration(float64(open[i]) * share / guaranteedShare * float64(s.stepRunTime(j, i)))
		}
	}
	return sum
}
