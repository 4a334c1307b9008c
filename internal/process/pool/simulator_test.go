package pool

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// sim runs a workload on a State in virtual time. Its workers obey orders and report at once.
	sim struct {
		*State
		now     time.Time
		random  *rand.Rand
		events  simEvents
		lastSeq int
		// passes counts the decisions, some of which are verified.
		passes  int
		lastEnd map[ids.InstanceID]uint64
		// runTimes holds the real run times of the jobs, and startedAt and finishedAt when they started and completed.
		runTimes              map[ids.JobID]time.Duration
		startedAt, finishedAt map[ids.JobID]time.Time
		startedMembers        map[simGang]int
		endedGangs            map[simGang]bool
		// hanging workers make no progress.
		hanging map[ids.InstanceID]bool
		// slowdown returns how many times as long a worker's tasks take, by the worker's number; nil means 1 for all.
		slowdown func(worker int) float64
		active   map[ids.InstanceID]map[worker.Run]simRun
		refused  int
		// poison jobs fail halfway.
		poison map[ids.JobID]bool
		// deadly jobs' first tasks crash each worker that starts them, and crashes and startsAfterCrashes count these crashes and the starts after
		// three of them.
		deadly                      map[ids.JobID]bool
		crashes, startsAfterCrashes map[ids.JobID]int
		// lostBeside counts the runs of other jobs that were lost in crashes by a task after its second.
		lostBeside int
		// down workers have crashed and not restarted yet, and restarts counts the restarts.
		down     map[ids.InstanceID]bool
		restarts map[ids.InstanceID]uint64
		// failing workers fail all that they start, soon after the start.
		failing map[ids.InstanceID]bool
		// stopTime replaces simStopTime if it is set.
		stopTime time.Duration
		// uneven is the approximate relative spread of the work of a job's tasks.
		uneven float64
		// list is the instance list; nil means that it doesn't change.
		list []Worker
		// lostWork is the work in core-seconds of runs that ended without a result or a checkpoint.
		lostWork float64
		// starts and stops count the units that were started and stopped, and slowStops those stopped for a slow worker.
		starts, stops, slowStops int
		// quarantines counts the quarantines.
		quarantines int
		// spent is the time spent in the calls of each kind, and decisions is the time of each call of Decide; measured is
		// set if they are recorded.
		measured  bool
		spent     map[string]time.Duration
		decisions []time.Duration
	}

	// simRun is a run that is active on a worker.
	simRun struct {
		since time.Time
		// from is the progress from which the run resumed, and whole is how long the whole task takes at this placement.
		from  float64
		whole time.Duration
		unit  *unit
	}

	// simGang identifies a start of a gang or of a single task, by the index of its first task.
	simGang struct {
		job         ids.JobID
		step, first int
		number      ids.RunNumber
	}

	simEvent struct {
		at  time.Time
		seq int
		run func()
	}

	simEvents []simEvent
)

const (
	// simVerifyInterval is the number of decisions after which the state is verified.
	simVerifyInterval = 97
	// simStopTime is how long a stopped run takes to end.
	simStopTime = 200 * time.Millisecond
	// simLease is how long a worker's runs go on after a start or a report.
	simLease = 6 * time.Second
	// simFailTime is how long a run takes to fail on a worker that fails everything.
	simFailTime = 30 * time.Millisecond
	// simCheckpointInterval is the work after which a task saves a checkpoint.
	simCheckpointInterval = 500 * time.Millisecond
)

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || (e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq)
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push appends an event.
func (e *simEvents) Push(x any) { *e = append(*e, x.(simEvent)) }

// Pop removes the last event.
func (e *simEvents) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

func newSim(workers, perRack int, seed uint64) *sim {
	s := &sim{
		State: testState(workers, perRack), now: testStart, random: rand.New(rand.NewPCG(seed, 1)), lastEnd: make(map[ids.InstanceID]uint64),
		runTimes: make(map[ids.JobID]time.Duration), startedAt: make(map[ids.JobID]time.Time), finishedAt: make(map[ids.JobID]time.Time),
		startedMembers: make(map[simGang]int), endedGangs: make(map[simGang]bool), hanging: make(map[ids.InstanceID]bool),
		poison: make(map[ids.JobID]bool), deadly: make(map[ids.JobID]bool), crashes: make(map[ids.JobID]int), startsAfterCrashes: make(map[ids.JobID]int),
		down: make(map[ids.InstanceID]bool), restarts: make(map[ids.InstanceID]uint64),
		active: make(map[ids.InstanceID]map[worker.Run]simRun), spent: make(map[string]time.Duration),
	}
	s.SetAccounts(map[ids.AccountID]Account{"account": {Guaranteed: 64}})
	return s
}

func (s *sim) at(d time.Duration, run func()) {
	s.lastSeq++
	heap.Push(&s.events, simEvent{at: s.now.Add(d), seq: s.lastSeq, run: run})
}

// playFor processes all events within a duration, with a report from each worker every second.
func (s *sim) playFor(d time.Duration) {
	end := s.now.Add(d)
	var tick func()
	tick = func() {
		for _, n := range s.sortedNodes() {
			s.report(n.ID, nil)
		}
		s.at(time.Second, tick)
	}
	s.at(time.Second, tick)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.run()
		s.decide()
	}
}

// submitOnce submits a job, and counts it in refused if it is refused.
func (s *sim) submitOnce(j *Job, runTime time.Duration) {
	s.submit(submission{job: j, runTime: runTime}, 0)
}

// measure runs a call of the state and records the time that it takes.
func (s *sim) measure(kind string, call func()) {
	if !s.measured {
		call()
		return
	}
	began := time.Now()
	call()
	took := time.Since(began)
	s.spent[kind] += took
	if kind == "Decide" {
		s.decisions = append(s.decisions, took)
	}
}

func (s *sim) decide() {
	var actions []Action
	var notices []Notice
	s.measure("Decide", func() { actions, notices = s.Decide(s.now) })
	if s.passes++; s.passes%simVerifyInterval == 0 {
		if err := s.Verify(); err != nil {
			panic(err)
		}
	}
	for _, n := range notices {
		switch n.Kind {
		case "Placed":
			s.starts++
		case "WorkerQuarantined":
			s.quarantines++
		case "Stopped":
			s.stops++
			if strings.Contains(n.Cause, "slow worker") {
				s.slowStops++
			}
		}
	}
	for _, a := range actions {
		if a.Kind == StopRun {
			s.at(cmp.Or(s.stopTime, simStopTime), func() { s.finish(a.Worker, a.Run, worker.EndStopped) })
			continue
		}
		if s.active[a.Worker] == nil {
			s.active[a.Worker] = make(map[worker.Run]simRun)
		}
		s.ExtendLease(a.Worker, s.now.Add(simLease))
		u := s.unitOf(s.jobs[a.Run.Job], a.Run.Task)
		s.active[a.Worker][a.Run] = simRun{
			since: s.now, from: simProgress(a.Checkpoint), unit: u,
			whole: time.Duration(s.slowdownOf(a.Worker) * s.remoteFactor(u) * s.workOf(a.Run.Task) * float64(s.runTimes[a.Run.Job])),
		}
		s.measure("RunStarted", func() { s.RunStarted(a.Worker, a.Run, s.now) })
		if s.startedAt[a.Run.Job].IsZero() {
			s.startedAt[a.Run.Job] = s.now
		}
		s.startWork(a, u)
		if s.deadly[a.Run.Job] && a.Run.Index == 0 {
			s.startDeadly(a)
		}
	}
}

// workOf returns the work of a task relative to the largest of its job.
func (s *sim) workOf(t worker.Task) float64 {
	if s.uneven == 0 {
		return 1
	}
	random := rand.New(rand.NewPCG(xxhash.Sum64String(t.String()), 4))
	return math.Exp(-2 * s.uneven * math.Abs(random.NormFloat64()))
}

// simProgress returns the progress that a checkpoint saves.
func simProgress(checkpoint string) float64 {
	if checkpoint == "" {
		return 0
	}
	progress, err := strconv.ParseFloat(checkpoint, 64)
	if err != nil {
		panic(err)
	}
	return progress
}

// remoteFactor returns how many times as long a gang takes that should be in one rack and is not.
func (s *sim) remoteFactor(u *unit) float64 {
	for _, r := range u.runs {
		if u.spec().SameRack && r.node.Rack != u.runs[0].node.Rack {
			return s.Times.RemoteSlowdown
		}
	}
	return 1
}

// progress returns the progress of a run, and saved the part of it that a checkpoint saves.
func (r simRun) progress(now time.Time) float64 {
	return min(1, r.from+now.Sub(r.since).Seconds()/r.whole.Seconds())
}

func (r simRun) saved(now time.Time) float64 {
	if !r.unit.spec().Checkpoints {
		return 0
	}
	interval := simCheckpointInterval.Seconds() / r.whole.Seconds()
	return max(r.from, math.Floor(r.progress(now)/interval)*interval)
}

// startWork starts the work of a gang once all its members have started.
func (s *sim) startWork(a Action, u *unit) {
	key := gangOf(u)
	s.startedMembers[key]++
	if s.startedMembers[key] < u.count {
		return
	}
	for _, r := range u.runs {
		if s.hanging[r.node.ID] {
			return
		}
	}
	for _, r := range u.runs {
		if s.failing[r.node.ID] {
			s.at(simFailTime, func() { s.failGang(key, u, r) })
			return
		}
	}
	var members []Action
	runTime := time.Duration(0)
	for _, r := range u.runs {
		members = append(members, Action{Worker: r.node.ID, Run: r.Run})
		run := s.active[r.node.ID][r.Run]
		runTime = max(runTime, time.Duration((1-run.from)*float64(run.whole)))
	}
	if s.poison[a.Run.Job] {
		first := u.runs[0]
		s.at(runTime/2, func() { s.failGang(key, u, first) })
	}
	s.at(runTime, func() {
		if s.endedGangs[key] {
			return
		}
		for _, m := range members {
			s.finish(m.Worker, m.Run, worker.EndDone)
		}
	})
}

// failGang ends a gang by the failure of one of its runs, unless it has ended.
func (s *sim) failGang(key simGang, u *unit, failed *run) {
	if s.endedGangs[key] {
		return
	}
	members := slices.Clone(u.runs)
	s.finish(failed.node.ID, failed.Run, worker.EndFailed)
	for _, r := range members {
		if r != failed {
			s.finish(r.node.ID, r.Run, worker.EndGangMemberLost)
		}
	}
}

// restart replaces the state with that of a new owner, which recovers from the stored records and the workers' reports.
func (s *sim) restart(workers, perRack int) {
	old := s.State
	var jobs []*Job
	for _, j := range old.live {
		record, err := j.Encode("", 0)
		if err != nil {
			panic(err)
		}
		restored, err := Decode(record)
		if err != nil {
			panic(err)
		}
		jobs = append(jobs, restored)
	}
	learned, _ := old.Estimates()
	speeds, _ := old.Speeds()
	s.State = testState(workers, perRack)
	s.Epoch = old.Epoch + 1
	s.SetAccounts(old.accounts)
	s.SetEstimates(learned)
	s.SetSpeeds(speeds)
	s.Recover(jobs, s.now)
	for _, n := range s.sortedNodes() {
		s.report(n.ID, nil)
	}
	s.EndRecovery(nil, s.now, s.now)
	for _, j := range s.Dirty(len(jobs), s.now) {
		s.MarkStored(j.ID, j.Version())
	}
}

// finish ends a run that is still active.
func (s *sim) finish(id ids.InstanceID, r worker.Run, how worker.EndReason) {
	run, found := s.active[id][r]
	if !found {
		return
	}
	delete(s.active[id], r)
	s.endedGangs[gangOf(run.unit)] = true
	e := worker.EndedRun{Run: r, Reason: how}
	if how != worker.EndDone {
		saved := run.saved(s.now)
		if how == worker.EndStopped && run.unit.spec().Checkpoints {
			saved = run.progress(s.now)
		}
		if saved > 0 {
			e.Checkpoint = strconv.FormatFloat(saved, 'f', -1, 64)
		}
		s.recordLostWork(run, saved)
	}
	s.lastEnd[id]++
	e.Number = s.lastEnd[id]
	s.report(id, []worker.EndedRun{e})
	if j := s.jobs[r.Job]; j != nil && j.State == Completed && s.finishedAt[r.Job].IsZero() {
		s.finishedAt[r.Job] = s.now
	}
}

// recordLostWork adds the work of a run that is not saved.
func (s *sim) recordLostWork(r simRun, saved float64) {
	each := r.unit.spec().Each
	cores := float64(each.Cores)/1000 + coresPerAccelerator*float64(each.Accelerators)
	s.lostWork += max(0, r.progress(s.now)-saved) * r.whole.Seconds() * cores
}

// gangOf identifies the current run of a unit.
func gangOf(u *unit) simGang { return simGang{u.job.ID, u.step, u.first, u.number} }

// drain announces that a worker leaves after a notice, and takes it away then, with all that runs on it.
func (s *sim) drain(id ids.InstanceID, notice time.Duration) {
	at := slices.IndexFunc(s.list, func(w Worker) bool { return w.ID == id })
	s.list[at].Draining, s.list[at].LeavesAt = true, s.now.Add(notice)
	s.SetWorkers(s.list)
	s.at(notice, func() {
		s.list = slices.DeleteFunc(slices.Clone(s.list), func(w Worker) bool { return w.ID == id })
		gone := s.active[id]
		delete(s.active, id)
		s.MarkDead(id, "its process has ended", s.now)
		s.breakGangs(gone)
		s.SetWorkers(s.list)
	})
}

// breakGangs ends the gangs of lost runs on the other workers.
func (s *sim) breakGangs(gone map[worker.Run]simRun) {
	for _, r := range slices.SortedFunc(maps.Keys(gone), func(a, b worker.Run) int { return cmp.Compare(a.String(), b.String()) }) {
		run := gone[r]
		s.recordLostWork(run, run.saved(s.now))
		u := run.unit
		if s.endedGangs[gangOf(u)] || u.number != r.Number {
			continue
		}
		s.endedGangs[gangOf(u)] = true
		for _, other := range slices.Clone(u.runs) {
			s.finish(other.node.ID, other.Run, worker.EndGangMemberLost)
		}
	}
}

func (s *sim) slowdownOf(id ids.InstanceID) float64 {
	if s.slowdown == nil {
		return 1
	}
	var number int
	if _, err := fmt.Sscanf(string(id), "w%d", &number); err != nil {
		panic(err)
	}
	return s.slowdown(number)
}

func (s *sim) report(id ids.InstanceID, ended []worker.EndedRun) {
	if s.down[id] {
		return
	}
	s.ExtendLease(id, s.now.Add(simLease))
	report := worker.RunReport{Incarnation: 1 + s.restarts[id], Ended: ended}
	for r, run := range s.active[id] {
		a := worker.ActiveRun{Run: r}
		if !s.hanging[id] {
			a.Percent = int(100 * run.progress(s.now))
		}
		if saved := run.saved(s.now); saved > 0 {
			a.Checkpoint = strconv.FormatFloat(saved, 'f', -1, 64)
		}
		report.Active = append(report.Active, a)
	}
	slices.SortFunc(report.Active, func(a, b worker.ActiveRun) int { return cmp.Compare(a.Run.String(), b.Run.String()) })
	s.measure("Reported", func() { s.Reported(id, report, s.now, s.now) })
}

// Bulk gangs at twice the capacity, and urgent guaranteed gangs onto full racks: the urgent ones start within the time limit.
func TestPatternUrgentOntoFullRacks(t *testing.T) {
	for seed := range uint64(5) {
		s := newSim(48, 8, seed)
		for i := range 120 {
			s.at(time.Duration(i)*250*time.Millisecond, func() {
				s.submitOnce(gangJob(fmt.Sprintf("bulk%03d", i), 1+i%2, 2+s.random.IntN(7), 1<<s.random.IntN(4), 8*time.Second), time.Duration(6+s.random.IntN(6))*time.Second)
			})
		}
		var urgent []*Job
		for i := range 20 {
			j := gangJob(fmt.Sprintf("urgent%02d", i), 0, 1+s.random.IntN(6), 1<<s.random.IntN(4), 2*time.Second)
			s.at(10*time.Second+time.Duration(i)*time.Second, func() {
				urgent = append(urgent, j)
				s.submitOnce(j, 2*time.Second)
			})
		}
		s.playFor(60 * time.Second)
		for _, j := range urgent {
			require.False(t, s.startedAt[j.ID].IsZero(), "seed %d: %s was not started", seed, j.ID)
			require.LessOrEqual(t, s.startedAt[j.ID].Sub(j.Submitted), 2900*time.Millisecond, "seed %d: %s", seed, j.ID)
			require.False(t, s.finishedAt[j.ID].IsZero(), "seed %d: %s did not end", seed, j.ID)
		}
	}
}

// Wide gangs among many small ones: no accepted gang starves.
func TestPatternWideAmongSmall(t *testing.T) {
	for seed := range uint64(5) {
		s := newSim(48, 8, seed)
		wide := 0
		for i := range 200 {
			s.at(time.Duration(i)*200*time.Millisecond, func() {
				tasks := 1 + s.random.IntN(2)
				name := "small"
				if i%20 == 10 {
					tasks, name = 8, "wide"
				}
				j := gangJob(fmt.Sprintf("%s%03d", name, i), 1, tasks, 8, 6*time.Second)
				s.submitOnce(j, 6*time.Second)
				if s.jobs[j.ID] != nil && tasks == 8 {
					wide++
				}
			})
		}
		s.playFor(120 * time.Second)
		require.Positive(t, wide, "seed %d: every wide gang was refused", seed)
		for id := range s.runTimes {
			require.False(t, s.finishedAt[id].IsZero(), "seed %d: %s did not end", seed, id)
		}
	}
}

// A tenth of the workers make no progress: their runs are restarted elsewhere, and all jobs end.
func TestPatternHangingWorkers(t *testing.T) {
	s := newSim(48, 8, 1)
	for i := range 5 {
		s.hanging[ids.InstanceID(fmt.Sprintf("w%04d", 7*i))] = true
	}
	for i := range 60 {
		s.at(time.Duration(i)*500*time.Millisecond, func() {
			s.submitOnce(gangJob(fmt.Sprintf("job%03d", i), 1, 1+s.random.IntN(4), 4, 3*time.Second), 3*time.Second)
		})
	}
	s.playFor(3 * time.Minute)
	for id := range s.runTimes {
		require.False(t, s.finishedAt[id].IsZero(), "%s did not end", id)
	}
}
