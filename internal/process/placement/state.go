// Package placement implements the scheduling decisions for one data centre: which job runs on which instances.
//
// It performs no I/O: the methods of State record events, and Decide returns the actions to take. The caller
// supplies all times. A State must be used by one goroutine at a time.
//
// A guarantee entitles an account to one or more shapes. Jobs outside their account's guarantees are borrowers; they
// use free and unused guaranteed capacity. Idempotent borrowers are preemptible: they are stopped when a guarantee
// reclaims that capacity. Other borrowers are non-preemptible and only use capacity that no guarantee needs.
package placement

import (
	"slices"
	"time"

	"github.com/jujubegrade/jujubegrade/internal/process/evacuation"
	"github.com/jujubegrade/jujubegrade/internal/version/config"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// State holds the instances, jobs and guarantees of one data centre.
	State struct {
		// DataCentre is the data centre that this State schedules.
		DataCentre ids.DataCentreID
		// Policy disables parts of the scheduling policy for comparison; the zero value is the full policy.
		Policy Policy
		// OnViolation is called with the error of a violated invariant; if nil, Decide panics.
		OnViolation func(err error)

		config *config.Config
		nodes  map[ids.InstanceID]*node
		racks  []*rack
		jobs   map[ids.JobID]*Job
		// placed holds the jobs that have nodes assigned.
		placed        map[ids.JobID]*Job
		capacityBound capacityBound
		queues        map[ids.AccountID]*queue
		entitlements  []*entitlement
		// largest is the largest shape guaranteed in this data centre.
		largest   ids.Shape
		estimates estimates
		notices   []Notice
		actions   []Action
		// capacityVersion counts the events that may let a waiting job fit. Classes that did not fit are retried after it
		// changes.
		capacityVersion uint64
		// unplacedCount is the number of guaranteed shapes without usable nodes after the last decision.
		unplacedCount int
		reservation   *reservation
		waits         waitHistory
		// losses holds the latest losses of instances.
		losses []instanceLoss
		// nextAvoidanceEnd is the earliest time at which a job may again use a node on which it failed.
		nextAvoidanceEnd time.Time
		// backingOff holds queued jobs that are not tried before their notBefore time.
		backingOff []*Job
		// holdNonIdempotent keeps non-idempotent jobs in the queue.
		holdNonIdempotent bool
		// evacuated is set while the configuration requests the evacuation of this data centre or lacks it, and evacuatedSince is when it
		// was first seen.
		evacuated      bool
		evacuatedSince time.Time
		evacuations    evacuation.Tracker
		// silentWorkers is the number of workers that may run unknown tasks.
		silentWorkers int
		// hadNodes is set once an evacuated data centre had a node. One that never had any can't be emptied.
		hadNodes bool
	}

	// Policy disables parts of the scheduling policy.
	Policy struct {
		// NoGuarantees ignores all guarantees, so nothing is reclaimed.
		NoGuarantees bool
		// FirstFit chooses the first instances that fit instead of the cheapest.
		FirstFit bool
		// ArrivalOrder places jobs strictly in arrival order.
		ArrivalOrder bool
		// NoReservation disables reservations for waiting gangs.
		NoReservation bool
		// NoReclaimWitness lets non-preemptible jobs use capacity that guarantees need, to test the ReclaimWitness invariant.
		NoReclaimWitness bool
		// NoPreemptionWait starts gangs before the jobs preempted for them have stopped, to test the NoOvercommit invariant.
		NoPreemptionWait bool
	}
)

// Configure replaces the configuration.
func (s *State) Configure(c *config.Config) {
	s.init()
	s.config = c
	s.setEvacuated(c.TakesNoWork(s.DataCentre))
	s.largest, _ = s.findLargestShape()
	s.rebuildEntitlements()
	for _, j := range s.jobs {
		if j.phase == queued && j.class != nil {
			s.dequeue(j)
			s.enqueue(j)
		}
	}
	s.capacityGrew()
}

func (s *State) init() {
	if s.nodes != nil {
		return
	}
	s.nodes = make(map[ids.InstanceID]*node)
	s.jobs = make(map[ids.JobID]*Job)
	s.placed = make(map[ids.JobID]*Job)
	s.queues = make(map[ids.AccountID]*queue)
	if s.config == nil {
		s.config = &config.Config{}
	}
}

func (s *State) capacityGrew() {
	s.capacityVersion++
	s.capacityBound.invalidate()
}

func (s *State) account(id ids.AccountID) *config.Account {
	if account, found := s.config.Accounts[id]; found {
		return account
	}
	return &config.Account{ID: id, Weight: 1}
}

// HoldNonIdempotent sets whether non-idempotent jobs are kept in the queue. They are started at most once, so they must not
// be started while a start can't be recorded.
func (s *State) HoldNonIdempotent(hold bool) {
	if s.holdNonIdempotent != hold {
		s.holdNonIdempotent = hold
		s.capacityGrew()
	}
}

// Job returns the job with an ID, or nil.
func (s *State) Job(id ids.JobID) *Job {
	return s.jobs[id]
}

// Jobs calls visit for each job, in no particular order.
func (s *State) Jobs(visit func(j *Job)) {
	for _, j := range s.jobs {
		visit(j)
	}
}

// FinishedBefore returns the IDs of the jobs that finished before a time, sorted.
func (s *State) FinishedBefore(before time.Time) []ids.JobID {
	var list []ids.JobID
	for id, j := range s.jobs {
		if j.phase == finished && j.Finished.Before(before) {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	return list
}

// Forget deletes a finished job.
func (s *State) Forget(id ids.JobID) {
	if j := s.jobs[id]; j != nil && j.phase == finished {
		delete(s.jobs, id)
	}
}

// Queued returns the number of queued jobs, including those that are backing off.
func (s *State) Queued() int {
	n := len(s.backingOff)
	for _, q := range s.queues {
		n += q.length
	}
	return n
}

func (s *State) notice(n Notice) {
	s.notices = append(s.notices, n)
}
