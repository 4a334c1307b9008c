// Package placement decides which job runs where in one data centre.
//
// It is plain state without input or output: events go in by the methods of State, and Decide returns the
// actions to take. All times are given by the caller. A State is used by one goroutine at a time.
package placement

import (
	"slices"
	"time"

	"github.com/jujubegrade/jujubegrade/internal/version/config"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// State is all that is known of one data centre's instances, jobs and guarantees.
	State struct {
		// DataCentre is the data centre that is decided for.
		DataCentre ids.DataCentreID
		// Policy replaces parts of the decisions, for comparison; the zero value is the full policy.
		Policy Policy
		// Violated is told of a broken invariant; nil panics.
		Violated func(err error)

		config *config.Config
		nodes  map[ids.InstanceID]*node
		racks  []*rack
		jobs   map[ids.JobID]*Job
		// placed are the jobs that have a place.
		placed  map[ids.JobID]*Job
		room    roomBound
		queues  map[ids.AccountID]*queue
		entries []*entry
		// largest is the largest guaranteed shape.
		largest   ids.Shape
		estimates estimates
		notices   []Notice
		actions   []Action
		// growth counts the events that may let a waiting job fit; classes that failed are tried again after it.
		growth uint64
		// broken is the number of guaranteed shapes without a place after the last decision.
		broken      int
		reservation *reservation
		waits       waitHistory
		// avoidEnds is when the first job may use a node again on which it failed.
		avoidEnds time.Time
		// delayed are waiting jobs that are not tried before their time.
		delayed []*Job
		// holdOnce keeps jobs that may be started once at most from being placed.
		holdOnce bool
	}

	// Policy switches parts of the decisions off.
	Policy struct {
		// NoGuarantees ignores all guarantees, and so reclaims nothing.
		NoGuarantees bool
		// FirstFit takes the first instances that fit.
		FirstFit bool
		// ArrivalOrder places jobs strictly in the order of their arrival.
		ArrivalOrder bool
		// NoReservation gives waiting gangs no reservation.
		NoReservation bool
		// NoWitness lets work that can't be stopped take what guarantees need; for tests of the invariant.
		NoWitness bool
		// NoWait starts gangs before the jobs in their place have been stopped; for tests of the invariant.
		NoWait bool
	}
)

// Configure replaces the configuration.
func (s *State) Configure(c *config.Config) {
	s.init()
	s.config = c
	s.largest, _ = s.largestShape()
	s.rebuildEntries()
	for _, j := range s.jobs {
		if j.phase == queued && j.class != nil {
			s.dequeue(j)
			s.enqueue(j)
		}
	}
	s.grow()
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

func (s *State) grow() {
	s.growth++
	s.room.forget()
}

func (s *State) account(id ids.AccountID) *config.Account {
	if account, found := s.config.Accounts[id]; found {
		return account
	}
	return &config.Account{ID: id, Weight: 1}
}

// HoldOnce keeps jobs that may be started once at most waiting, while their start can't be recorded.
func (s *State) HoldOnce(hold bool) {
	if s.holdOnce != hold {
		s.holdOnce = hold
		s.grow()
	}
}

// Job returns a job, or nil.
func (s *State) Job(id ids.JobID) *Job {
	return s.jobs[id]
}

// Jobs calls visit for each job, in no order.
func (s *State) Jobs(visit func(j *Job)) {
	for _, j := range s.jobs {
		visit(j)
	}
}

// OverSince lists the jobs that were over before a time, in order.
func (s *State) OverSince(before time.Time) []ids.JobID {
	var list []ids.JobID
	for id, j := range s.jobs {
		if j.phase == over && j.Finished.Before(before) {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	return list
}

// Forget drops a job that is over.
func (s *State) Forget(id ids.JobID) {
	if j := s.jobs[id]; j != nil && j.phase == over {
		delete(s.jobs, id)
	}
}

// Queued returns the number of waiting jobs.
func (s *State) Queued() int {
	n := len(s.delayed)
	for _, q := range s.queues {
		n += q.length
	}
	return n
}

func (s *State) notice(n Notice) {
	s.notices = append(s.notices, n)
}
