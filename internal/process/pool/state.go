// Package pool decides which steps of which jobs run where in one pool of workers.
//
// It is plain state without input or output: events go in by the methods of State, and Decide returns the actions to
// take. All times are given by the caller. A State is used by one goroutine at a time.
//
// The workers start what they are told to. Room is therefore kept here: a run takes its room on a worker from the
// moment its start is ordered until the worker has said that it ended, or can't be running any more.
package pool

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// State is all that is known of one pool's workers and jobs.
	State struct {
		// Epoch is the owner's epoch; run numbers begin anew with each.
		Epoch ids.Epoch
		Times Times

		accounts map[ids.AccountID]Account
		nodes    map[ids.InstanceID]*node
		racks    []*rack
		// whole stands for all workers together.
		whole *rack
		// total is what all workers have.
		total ids.Resources
		// looks counts the looks ahead.
		looks uint64
		jobs  map[ids.JobID]*Job
		// live are the jobs that have not ended, by priority, turn and submission.
		live []*Job
		// fair gives the jobs their turns.
		fair fairness
		// recovering keeps everything from being started until the workers have reported.
		recovering bool
		// kept are the units in phase allocated.
		kept []*unit
		// growth counts the events that may let a waiting unit start; nothing is looked for unless it has grown.
		growth, tried uint64
		triedAt       time.Time
		// retryAt is when the next unit that backs off may start; zero if none does.
		retryAt time.Time
		// owedChanged tells that the jobs of priority 0 or the guarantees have changed.
		owedChanged bool
		// shapes remembers by shape whether a gang fits one rack, as long as the same workers return.
		shapes map[shape]bool
		// shapesOf numbers the shapes; it rises when they are forgotten.
		shapesOf uint64
		// changed are the workers for which the answers of Busy, Acknowledged, Seen or Incarnation may have changed.
		changed map[ids.InstanceID]bool
		// suspects are the workers that are quarantined, silent or not listed.
		suspects map[*node]bool
		// unknown are workers on which jobs of an earlier owner may run, and until when.
		unknown   map[ids.InstanceID]time.Time
		estimates map[ids.QueueID]*RunTimes
		// learned counts the samples of this owner.
		learned int
		// stops is the time that stopped runs took to end, in nanoseconds.
		stops   mean
		actions []Action
		notices []Notice
		dirty   map[ids.JobID]*Job
	}

	// Account is what the configuration grants a client account.
	Account struct {
		// Guaranteed are the accelerators that belong to the account's jobs of priority 0.
		Guaranteed ids.Accelerators
	}

	// Times are the platform's bounds. Zero fields have defaults.
	Times struct {
		// Stop is the longest time that a stopped run takes to end.
		Stop time.Duration
		// Reclaim is the time from acceptance in which an owed job has begun.
		Reclaim time.Duration
		// Restore is the time that a run takes to go on from a checkpoint.
		Restore time.Duration
		// Remote is how many times as long tasks take away from their rack or data.
		Remote float64
		// Retention is how long ended jobs are known.
		Retention time.Duration
	}

	// ActionKind says what is to be done.
	ActionKind int

	// Action is an order to a worker.
	Action struct {
		Kind       ActionKind
		Worker     ids.InstanceID
		Run        worker.Run
		Payload    string
		Checkpoint string
	}

	// Notice tells of a decision and what decided it.
	Notice struct {
		Kind string
		Job  ids.JobID
		Step int
		// Task is the first of the Tasks that it is about.
		Task   int
		Tasks  int
		Number ids.RunNumber
		Worker ids.InstanceID
		Cause  string
		// Priority is the job's. First tells that no task of it was started before, and Outcome how it ended.
		Priority int
		First    bool
		Outcome  JobState
		// After is the time since the job's submission, and Lost the core-seconds of work that a stop loses.
		After time.Duration
		Lost  float64
	}
)

const (
	// StartRun starts a run on its worker.
	StartRun ActionKind = iota
	// StopRun stops a run on its worker.
	StopRun
)

// runsPerEpoch bounds the run numbers of one task under one owner, so that numbers rise over owners.
const runsPerEpoch = 1000

func (s *State) init() {
	if s.nodes != nil {
		return
	}
	s.nodes = make(map[ids.InstanceID]*node)
	s.whole = &rack{}
	s.jobs = make(map[ids.JobID]*Job)
	s.dirty = make(map[ids.JobID]*Job)
	s.changed = make(map[ids.InstanceID]bool)
	s.suspects = make(map[*node]bool)
	s.unknown = make(map[ids.InstanceID]time.Time)
	s.estimates = make(map[ids.QueueID]*RunTimes)
	s.Times.Stop = cmp.Or(s.Times.Stop, 400*time.Millisecond)
	s.Times.Reclaim = cmp.Or(s.Times.Reclaim, 2900*time.Millisecond)
	s.Times.Restore = cmp.Or(s.Times.Restore, 100*time.Millisecond)
	s.Times.Remote = cmp.Or(s.Times.Remote, 3)
	s.Times.Retention = cmp.Or(s.Times.Retention, 2*time.Minute)
}

// SetAccounts replaces the accounts of the configuration.
func (s *State) SetAccounts(accounts map[ids.AccountID]Account) {
	s.accounts = accounts
	s.owedChanged = true
	s.grow()
}

// Job returns a job, or nil.
func (s *State) Job(id ids.JobID) *Job { return s.jobs[id] }

// Pending returns the number of a queue's accepted jobs of which no task was started.
func (s *State) Pending(queue ids.QueueID) int {
	count := 0
	for _, j := range s.live {
		if j.Queue == queue && j.stored && !j.begun {
			count++
		}
	}
	return count
}

// add takes a job into the tables.
func (s *State) add(j *Job) {
	s.init()
	if j.units == nil {
		j.makeUnits()
	}
	s.jobs[j.ID] = j
	if j.over() {
		return
	}
	s.fair.take(j, s.work(j))
	at, _ := slices.BinarySearchFunc(s.live, j, compareJobs)
	s.live = slices.Insert(s.live, at, j)
	s.owedChanged = s.owedChanged || j.Priority == 0
	s.grow()
}

func (s *State) grow() { s.growth++ }

func compareJobs(a, b *Job) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.turn, b.turn), a.Submitted.Compare(b.Submitted), cmp.Compare(a.ID, b.ID))
}

func (s *State) dropLive(j *Job) {
	if at, found := slices.BinarySearchFunc(s.live, j, compareJobs); found {
		s.live = slices.Delete(s.live, at, at+1)
	}
	if !j.begun {
		s.fair.giveBack(j)
	}
	s.owedChanged = s.owedChanged || j.Priority == 0
	s.grow()
}

// Offer takes a job that was admitted and whose acceptance is being stored. It is not started before Accepted.
func (s *State) Offer(j *Job) {
	j.State = Accepted
	s.add(j)
	s.touch(j)
}

// Withdraw drops a job whose acceptance was not stored.
func (s *State) Withdraw(id ids.JobID) {
	if j := s.jobs[id]; j != nil && !j.stored {
		delete(s.jobs, id)
		delete(s.dirty, id)
		s.dropLive(j)
	}
}

// Stored takes note that the store keeps a version of a job.
func (s *State) Stored(id ids.JobID, version uint64) {
	if j := s.jobs[id]; j != nil {
		if !j.stored {
			s.grow()
		}
		j.stored = true
		j.storedVersion = max(j.storedVersion, version)
		for _, n := range j.endedOn {
			s.mark(n)
		}
		if j.storedVersion >= j.version {
			j.endedOn = nil
		}
	}
}

// Kept reports whether the store keeps all that is known of a job.
func (s *State) Kept(j *Job) bool { return j.stored && j.storedVersion >= j.version }

// touch marks a job for the store.
func (s *State) touch(j *Job) {
	j.version++
	s.dirty[j.ID] = j
}

// Dirty returns jobs that changed since they were last returned, at most limit, those that nobody has stored yet first.
func (s *State) Dirty(limit int) []*Job {
	if len(s.dirty) == 0 {
		return nil
	}
	list := make([]*Job, 0, len(s.dirty))
	for _, j := range s.dirty {
		list = append(list, j)
	}
	slices.SortFunc(list, func(a, b *Job) int {
		if a.stored != b.stored {
			if b.stored {
				return -1
			}
			return 1
		}
		return compareJobs(a, b)
	})
	list = list[:min(limit, len(list))]
	for _, j := range list {
		delete(s.dirty, j.ID)
	}
	return list
}

// Retry marks a job for the store again, after a write that did not take effect.
func (s *State) Retry(id ids.JobID) {
	if j := s.jobs[id]; j != nil {
		s.dirty[id] = j
	}
}

// IsStored reports whether the store keeps the job's acceptance.
func (j *Job) IsStored() bool { return j.stored }

// Version returns the version of a job that is to be stored.
func (j *Job) Version() uint64 { return j.version }

// Cancel ends a job for its caller.
func (s *State) Cancel(id ids.JobID, now time.Time) {
	if j := s.jobs[id]; j != nil && !j.over() {
		s.end(j, Cancelled, "cancelled by the caller", now)
	}
}

// end ends a job and stops what runs of it.
func (s *State) end(j *Job, state JobState, cause string, now time.Time) {
	j.State = state
	j.Finished = now
	s.touch(j)
	s.dropLive(j)
	s.notice(Notice{Kind: "JobEnded", Job: j.ID, Priority: j.Priority, Outcome: state, Cause: string(state) + ": " + cause, After: now.Sub(j.Submitted)})
	for _, u := range j.units {
		s.abort(u, cause, now)
	}
}

// Retired removes jobs that ended before the retention and returns their ids.
func (s *State) Retired(now time.Time) []ids.JobID {
	var list []ids.JobID
	for id, j := range s.jobs {
		if j.over() && s.Kept(j) && now.Sub(j.Finished) > s.Times.Retention {
			list = append(list, id)
			delete(s.jobs, id)
		}
	}
	slices.Sort(list)
	return list
}

// Counts are the numbers of a pool that operators watch.
type Counts struct {
	Workers, Open, Slower, Runs, LiveJobs, WaitingUnits, Unknown int
	Accelerators, UsedAccelerators                               ids.Accelerators
}

// Counts returns the pool's numbers.
func (s *State) Counts(now time.Time) Counts {
	c := Counts{LiveJobs: len(s.live), Unknown: len(s.unknown)}
	for _, n := range s.nodes {
		if !n.listed {
			continue
		}
		c.Workers++
		c.Runs += len(n.runs)
		c.Accelerators += n.Total.Accelerators
		c.UsedAccelerators += n.used.Accelerators
		if n.open(now) {
			c.Open++
		}
		if n.slower() {
			c.Slower++
		}
	}
	for _, j := range s.live {
		for _, u := range j.units {
			if u.phase == waiting {
				c.WaitingUnits++
			}
		}
	}
	return c
}

// Describe returns the workers and the live jobs as text, for reports of failures.
func (s *State) Describe(now time.Time) string {
	var b strings.Builder
	for _, n := range s.sortedNodes() {
		fmt.Fprintf(&b, "worker %s open %t listed %t known %t silent %t draining %t used %v kept %v runs %d\n",
			n.ID, n.open(now), n.listed, n.known, !n.silentSince.IsZero(), n.Draining, n.used, n.kept, len(n.runs))
		for r := range n.runs {
			fmt.Fprintf(&b, "  run %s %d phase %d known %t confirmed %t\n", r.Task, r.Number, r.phase, r.known, !r.confirmed.IsZero())
		}
	}
	for _, j := range s.live {
		fmt.Fprintf(&b, "job %s stored %t owed %t restored %t\n", j.ID, j.stored, j.owed, j.restored)
		for _, u := range j.units {
			fmt.Fprintf(&b, "  unit %d/%d tasks %d phase %d number %d failed %d avoids %d not before %v\n",
				u.step, u.first, u.count, u.phase, u.number, len(u.failed), len(u.avoid), u.notBefore.Sub(now))
		}
	}
	return b.String()
}

func (s *State) notice(n Notice) { s.notices = append(s.notices, n) }
