// Package pool schedules the steps of jobs onto one pool of workers.
//
// It does no input or output: the methods of State record events, and Decide returns the actions to take. The caller
// supplies all times. A State must be used by one goroutine at a time.
//
// Workers start whatever they are ordered to start, so the resources in use are tracked here: a run holds its resources on a
// worker from the moment its start is ordered until the worker reports its end, or the run can no longer be active.
package pool

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/jujubegrade/jujubegrade/internal/process/evacuation"
	"github.com/jujubegrade/jujubegrade/internal/process/tenure"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// State holds the workers and jobs of one pool.
	State struct {
		// Epoch is the owner's epoch; run numbers restart in each epoch.
		Epoch ids.Epoch
		// Tokens are the fencing tokens that this owner may use.
		Tokens Tokens
		Times  Times
		// Lag is how late events are handled at the moment, which delays each start.
		Lag time.Duration
		// MaxMemory limits the memory that jobs may take; zero means no limit. Jobs beyond it are not admitted, and of scheduled jobs only one occurrence is open.
		MaxMemory Bytes

		accounts map[ids.AccountID]Account
		nodes    map[ids.InstanceID]*node
		racks    []*rack
		// racksByID holds the racks by id.
		racksByID map[ids.RackID]*rack
		// fittingRacks, candidateList and victimList are buffers of bestPlacement, candidates and victims.
		fittingRacks  []*rack
		candidateList []candidate
		// overdueJobs is a buffer of placeJobs, and overdueUpdatedAt is when updateOverdue last ran.
		overdueJobs      []*Job
		overdueUpdatedAt time.Time
		// speeds summarizes the workers' speeds.
		speeds poolSpeeds
		// rates is a buffer of referenceRate.
		rates      []float64
		victimList []victim
		// wholePool is a pseudo-rack with all workers.
		wholePool *rack
		// total is the sum of all workers' resources.
		total ids.Resources
		// fitCounts caches how many tasks of each shape fit. It is replaced, and fitCountsVersion incremented, when the racks change.
		fitCounts        map[taskShape]*fitCount
		fitCountsVersion uint64
		// capacityChanges counts the changes of any worker's free resources or schedulability; see rack.changedAt.
		capacityChanges uint64
		// reserved holds the reservations for waiting gangs.
		reserved reservations
		// preemptingCheckedAt is when the units in phase preempting were last checked, and preemptingChanges is the value of
		// capacityChanges then.
		preemptingCheckedAt time.Time
		preemptingChanges   uint64
		// lastRunSeq is the sequence number of the latest run.
		lastRunSeq uint64
		// projections counts the projections of workers' free resources; see node.projection.
		projections uint64
		jobs        map[ids.JobID]*Job
		live        liveJobs
		// clock continues that of earlier owners. acceptances counts the jobs that this owner has accepted, and unnumbered those that earlier versions have.
		clock                   tenure.Clock
		acceptances, unnumbered uint64
		// fairQueue assigns the jobs' start tags.
		fairQueue fairQueue
		// recoveredAt is when recovery ended.
		recoveredAt time.Time
		// recovering blocks all starts until the workers have reported.
		recovering bool
		// adopting is set after recovery until endAdoption has run.
		adopting bool
		// held blocks all starts; see HoldStarts.
		held bool
		// evacuations holds the data centres that take no new runs, and evacuationEvents their changes that were not returned yet.
		evacuations      evacuation.Tracker
		evacuationEvents []evacuation.Event
		// remainingPool is the capacity outside the evacuated data centres, and moves are the moves out of them that are under way.
		remainingPool remainingCapacity
		moves         []move
		// movesCheckedAt is when units that may move were last looked for.
		movesCheckedAt time.Time
		// placingMove is set while a placement is looked for to which a unit may move.
		placingMove bool
		// coldNodes holds the workers that are cold, and coldSlowdown averages the logarithm of how much slower they are.
		coldNodes    map[*node]bool
		coldSlowdown movingAverage
		// warmOnly is set while a placement on warm workers alone is looked for.
		warmOnly bool
		// refills limits the starts on cold workers after the evacuation of their data centre.
		refills map[ids.DataCentreID]*refill
		// preempting holds the units in phase preempting.
		preempting []*unit
		// passRequests counts the events after which a waiting unit may fit, and servedRequests is its value at the last pass.
		// A pass runs before maxPassInterval has elapsed only if the two differ.
		passRequests, servedRequests uint64
		lastPassAt                   time.Time
		// retryAt is the earliest time at which a backoff ends or a scheduled occurrence is due; zero if there is none.
		retryAt time.Time
		// guaranteedChanged is set when the jobs of priority 0 or the guarantees have changed.
		guaranteedChanged bool
		// usedShares caches usedShare by service; it is valid while capacityChanges equals usedSharesAt.
		usedShares   map[ids.ServiceID]float64
		usedSharesAt uint64
		// urgentDemands holds the demand of urgent jobs by service.
		urgentDemands map[ids.ServiceID]*urgentDemand
		// openSums holds openCapacity by service as of openSumsAt, in terms of capacityChanges.
		openSums   map[ids.ServiceID]openAccelerators
		openSumsAt uint64
		// rackFits caches, by shape, whether a gang fits into one rack.
		rackFits map[gangShape]bool
		// rackFitsVersion is incremented whenever rackFits is invalidated.
		rackFitsVersion uint64
		// changed holds the workers whose Busy, AcknowledgedEnd, HandledEnd or Incarnation may have changed.
		changed map[ids.InstanceID]bool
		// suspects holds the workers that are quarantined, silent with runs, or not listed. Others that are silent stay until the next call of Decide.
		suspects map[*node]bool
		// lives holds the latest process of each worker that has reported, and lateOrders the workers that may still carry out an order without an answer.
		lives      map[ids.InstanceID]*life
		lateOrders map[ids.InstanceID]bool
		// leaving holds the draining workers with runs, and departureDelays maps notices to how workers stayed beyond them.
		leaving         map[*node]bool
		departureDelays map[time.Duration]*departureDelays
		// crashes holds the latest crashes of workers, undecided the units with crashes that are not judged yet, and unseen the units with crashes that were
		// not seen, by worker.
		crashes   []poolCrash
		undecided []*unit
		unseen    map[ids.InstanceID][]*unit
		// suspected holds the started units with crashes since a run outlived its trial, and isolating those with workers of their own.
		suspected, isolating map[*unit]bool
		// crashingRacks caches isCrashingRack for the time crashingRacksAt, and trialVisits counts the workers looked at for trials in the current pass.
		crashingRacks   map[ids.RackID]bool
		crashingRacksAt time.Time
		trialVisits     int
		// unknown maps the workers that may still run jobs of an earlier owner to the time until which that is possible.
		unknown map[ids.InstanceID]time.Time
		// placesKnown is set if the records, with what else is known, hold the places of all starts that earlier owners have ordered.
		placesKnown bool
		estimates   map[ids.QueueID]*RunTimes
		// samples counts the run time samples taken by this owner.
		samples int
		// stopTimes averages how long stopped runs took to end, in nanoseconds.
		stopTimes movingAverage
		// wave holds the workers on which tasks have failed within waveTime, or some time ago if none has since.
		wave []workerFailure
		// failureShare averages the share of failures among the latest ends of gangs.
		failureShare movingAverage
		actions      []Action
		notices      []Notice
		// losses holds the losses since the last decision; see loss.go.
		losses map[lossKey]*Loss
		dirty  map[ids.JobID]*Job
		// used is the memory that the jobs take at most.
		used Bytes
	}

	// Account holds the settings of a client account.
	Account struct {
		// Guaranteed is the number of accelerators guaranteed to the account's jobs of priority 0.
		Guaranteed ids.Accelerators
	}

	// Times holds the platform's time limits. Zero fields have defaults.
	Times struct {
		// Stop is the longest time that a stopped run takes to end.
		Stop time.Duration
		// GuaranteedStart is the time from acceptance within which a job covered by a guarantee must have started.
		GuaranteedStart time.Duration
		// Restore is the time that a run takes to resume from a checkpoint.
		Restore time.Duration
		// RemoteSlowdown is the factor by which tasks are slower away from their rack or data.
		RemoteSlowdown float64
		// IdleWait is the longest time for which nothing of a job may run while the pool is idle; see isIdleFor.
		IdleWait time.Duration
		// EntryInterval is the time between a worker's writes of its entry. If it is not known, the removal of an entry shows nothing.
		EntryInterval time.Duration
		// Retention is how long ended jobs are kept.
		Retention time.Duration
	}
)

// runsPerEpoch is the size of each epoch's range of run numbers, so that the run numbers of a task increase across owners.
const runsPerEpoch = 1000

func (s *State) init() {
	if s.nodes != nil {
		return
	}
	s.nodes = make(map[ids.InstanceID]*node)
	s.wholePool = &rack{}
	s.jobs = make(map[ids.JobID]*Job)
	s.dirty = make(map[ids.JobID]*Job)
	s.changed = make(map[ids.InstanceID]bool)
	s.suspects = make(map[*node]bool)
	s.lives, s.lateOrders = make(map[ids.InstanceID]*life), make(map[ids.InstanceID]bool)
	s.leaving = make(map[*node]bool)
	s.coldNodes = make(map[*node]bool)
	s.urgentDemands = make(map[ids.ServiceID]*urgentDemand)
	s.refills = make(map[ids.DataCentreID]*refill)
	s.departureDelays = make(map[time.Duration]*departureDelays)
	s.unseen = make(map[ids.InstanceID][]*unit)
	s.suspected, s.isolating = make(map[*unit]bool), make(map[*unit]bool)
	s.unknown = make(map[ids.InstanceID]time.Time)
	s.estimates = make(map[ids.QueueID]*RunTimes)
	s.fitCounts = make(map[taskShape]*fitCount)
	s.Times.Stop = cmp.Or(s.Times.Stop, 400*time.Millisecond)
	s.Times.GuaranteedStart = cmp.Or(s.Times.GuaranteedStart, 2900*time.Millisecond)
	s.Times.Restore = cmp.Or(s.Times.Restore, 100*time.Millisecond)
	s.Times.RemoteSlowdown = cmp.Or(s.Times.RemoteSlowdown, 3)
	s.Times.IdleWait = cmp.Or(s.Times.IdleWait, 3*time.Second)
	s.Times.Retention = cmp.Or(s.Times.Retention, 2*time.Minute)
}

// SetAccounts replaces the accounts of the configuration.
func (s *State) SetAccounts(accounts map[ids.AccountID]Account) {
	s.accounts = accounts
	s.updateRemaining()
	s.guaranteedChanged = true
	s.requestPass()
}

// Job returns the job with the given id, or nil.
func (s *State) Job(id ids.JobID) *Job { return s.jobs[id] }

// Pending returns the number of stored jobs of a queue, to which isOf reports that a job belongs, of which no task has begun.
func (s *State) Pending(isOf func(*Job) bool) int {
	count := 0
	for _, j := range s.live {
		if j.stored && !j.begun && isOf(j) {
			count++
		}
	}
	return count
}

// add inserts a job into the tables.
func (s *State) add(j *Job) {
	s.init()
	s.jobs[j.ID] = j
	defer s.account(j)
	if j.ended() {
		return
	}
	if j.units == nil {
		j.openOne()
	}
	for _, u := range j.units {
		for _, c := range u.crashes.list {
			if c.Unseen && c.Worker != "" {
				s.unseen[c.Worker] = append(s.unseen[c.Worker], u)
			}
		}
	}
	s.insertLive(j)
}

func (s *State) requestPass() { s.passRequests++ }

// Offer adds an admitted job whose acceptance is being stored. The job doesn't start before MarkStored is called.
func (s *State) Offer(j *Job) {
	j.State = Accepted
	s.acceptances++
	j.stamp = tenure.Stamp{Acceptance: tenure.Acceptance{Epoch: s.Epoch, Number: s.acceptances}, Accepted: s.clock.Moment(j.Submitted)}
	s.add(j)
	s.observeUrgent(j)
	s.markDirty(j)
}

// Withdraw removes a job whose acceptance could not be stored.
func (s *State) Withdraw(id ids.JobID) {
	if j := s.jobs[id]; j != nil && !j.stored {
		delete(s.jobs, id)
		delete(s.dirty, id)
		s.removeLive(j)
		s.account(j)
	}
}

// MarkStored records that the store holds a version of a job.
func (s *State) MarkStored(id ids.JobID, version uint64) {
	if j := s.jobs[id]; j != nil {
		if !j.stored || j.storedVersion < j.crashVersion {
			s.requestPass()
		}
		j.stored = true
		j.storedVersion = max(j.storedVersion, version)
		for _, n := range j.pendingEndNodes {
			s.markChanged(n)
		}
		if j.storedVersion >= j.version {
			j.pendingEndNodes = nil
			if j.ended() {
				// Nothing of it is started again, and its record is not written again.
				j.Payload = ""
				j.closeAll()
				s.account(j)
			}
		}
	}
}

// IsCurrentVersionStored reports whether the store holds the current version of a job.
func (s *State) IsCurrentVersionStored(j *Job) bool { return j.stored && j.storedVersion >= j.version }

// markDirty records a change of a job that has to be stored.
func (s *State) markDirty(j *Job) {
	j.version++
	s.dirty[j.ID] = j
}

// Dirty returns at most limit jobs that have changed since they were last returned, jobs never stored first. Their records are to be written now.
func (s *State) Dirty(limit int, now time.Time) []*Job {
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
		j.stamp.Written = s.clock.Moment(now)
		delete(s.dirty, j.ID)
	}
	return list
}

// RequeueWrite marks a job dirty again after a write that did not take effect.
func (s *State) RequeueWrite(id ids.JobID) {
	if j := s.jobs[id]; j != nil {
		s.dirty[id] = j
	}
}

// IsStored reports whether the job's acceptance is stored.
func (j *Job) IsStored() bool { return j.stored }

// Version returns the job's current version, which is the one to store.
func (j *Job) Version() uint64 { return j.version }

// Cancel ends a job at its caller's request.
func (s *State) Cancel(id ids.JobID, now time.Time) {
	if j := s.jobs[id]; j != nil && !j.ended() {
		s.end(j, Cancelled, "cancelled by the caller", now)
	}
}

// Fail ends a job that can't be kept.
func (s *State) Fail(id ids.JobID, cause string, now time.Time) {
	if j := s.jobs[id]; j != nil && !j.ended() {
		s.end(j, Failed, cause, now)
	}
}

// end ends a job and stops its runs.
func (s *State) end(j *Job, state JobState, cause string, now time.Time) {
	j.State = state
	j.Finished = now
	j.stamp.Ended = s.clock.Moment(now)
	s.markDirty(j)
	s.removeLive(j)
	s.notice(Notice{Kind: "JobEnded", Job: j.ID, Priority: j.Priority, Outcome: state, Cause: string(state) + ": " + cause, After: j.age(now)})
	for _, u := range j.units {
		s.stopUnit(u, cause, now)
	}
	s.forgetUnseen(j)
}

// RemoveRetired removes the stored jobs that ended longer ago than Times.Retention and returns their ids.
func (s *State) RemoveRetired(now time.Time) []ids.JobID {
	var list []ids.JobID
	for id, j := range s.jobs {
		if j.ended() && s.IsCurrentVersionStored(j) && time.Duration(s.clock.Moment(now)-j.stamp.Ended) > s.Times.Retention {
			list = append(list, id)
			delete(s.jobs, id)
			s.account(j)
		}
	}
	slices.Sort(list)
	return list
}

// Counts holds the pool's metrics.
type Counts struct {
	Workers, Open, Slower, Runs, LiveJobs, WaitingUnits, Unknown int
	// Suspected counts the started units under which workers have crashed, and Isolated the workers that are kept free of other units for them.
	Suspected, Isolated            int
	Accelerators, UsedAccelerators ids.Accelerators
	// Memory is what the jobs take at most.
	Memory Bytes
	// Fast, Usual and Slow count the workers of a pool of unequal ones by class, and SpeedUnknown those that are not classified yet.
	Fast, Usual, Slow, SpeedUnknown int
}

// Counts returns the pool's metrics.
func (s *State) Counts(now time.Time) Counts {
	c := Counts{Memory: s.used, LiveJobs: len(s.live), Unknown: len(s.unknown), Suspected: len(s.suspected)}
	for u := range s.isolating {
		c.Isolated += len(u.isolated)
	}
	for _, n := range s.nodes {
		if !n.listed {
			continue
		}
		c.Workers++
		c.Runs += len(n.runs)
		c.Accelerators += n.Total.Accelerators
		c.UsedAccelerators += n.used.Accelerators
		if n.schedulable() {
			c.Open++
		}
		if n.slower() {
			c.Slower++
		}
		s.countSpeed(&c, n)
	}
	for _, j := range s.live {
		for _, st := range j.stages {
			c.WaitingUnits += st.inPhase[waiting]
		}
		c.WaitingUnits += (j.Schedule.count() - j.opened) * j.unitsPerOccurrence()
	}
	return c
}

// Describe returns the workers and the live jobs as text for failure reports.
func (s *State) Describe(now time.Time) string {
	var b strings.Builder
	for _, n := range s.sortedNodes() {
		fmt.Fprintf(&b, "worker %s schedulable %t listed %t reported %t silent %t draining %t evacuated %t used %v held %v runs %d\n",
			n.ID, n.schedulable(), n.listed, n.reported, !n.silentSince.IsZero(), n.Draining, n.evacuated, n.used, n.held, len(n.runs))
		for _, r := range n.runs {
			fmt.Fprintf(&b, "  run %s %d phase %d reported %t confirmed %t\n", r.Task, r.Number, r.phase, r.reported, !r.confirmedAt.IsZero())
		}
	}
	for _, j := range s.live {
		fmt.Fprintf(&b, "job %s stored %t guaranteed %t recovered %t\n", j.ID, j.stored, j.guaranteed, j.recovered)
		for _, u := range j.units {
			fmt.Fprintf(&b, "  unit %d/%d tasks %d phase %d number %d failed %d crashes %d avoids %d not before %v\n",
				u.step, u.first, u.count, u.phase, u.number, len(u.failedRuns), len(u.crashes.list), len(u.avoidUntil), u.notBefore.Sub(now))
		}
	}
	return b.String()
}

func (s *State) notice(n Notice) { s.notices = append(s.notices, n) }
