package pool

import (
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// Verify returns an error that names the first contradiction in the state, or nil. It looks at all jobs and workers, so it is for tests and failure reports.
func (s *State) Verify() error {
	if err := s.verifyLive(); err != nil {
		return err
	}
	for _, n := range s.nodes {
		if err := s.verifyNode(n); err != nil {
			return err
		}
	}
	var memory, scheduled Bytes
	for _, j := range s.jobs {
		memory += j.accounted
		if j.Schedule.Occurrences > 0 {
			// One occurrence of an accepted job is always opened.
			scheduled += j.accounted
		}
		if err := s.verifyJob(j); err != nil {
			return err
		}
	}
	if memory != s.used {
		return errors.Newf("the jobs take %d bytes, and %d are accounted for", memory, s.used)
	}
	if s.MaxMemory > 0 && memory-scheduled > s.MaxMemory {
		return errors.Newf("the jobs take %d bytes, of %d meant for them", memory, s.MaxMemory)
	}
	return nil
}

// verifyLive verifies that the lists of what waits hold exactly what has not ended.
func (s *State) verifyLive() error {
	live := 0
	for _, j := range s.jobs {
		if !j.ended() {
			live++
		}
	}
	if len(s.live) != live {
		return errors.Newf("%d jobs have not ended, and %d are live", live, len(s.live))
	}
	for i, j := range s.live {
		switch {
		case s.jobs[j.ID] != j, j.ended(), !j.isLive:
			return errors.Newf("job %s is live, and has ended or is not known", j.ID)
		case i > 0 && compareJobs(s.live[i-1], j) >= 0:
			return errors.Newf("job %s is out of order", j.ID)
		case j.order != liveOrder{j.Priority, j.startTag, j.stamp.Acceptance, j.ID}:
			return errors.Newf("job %s has changed its place", j.ID)
		}
	}
	for id, units := range s.unseen {
		for _, u := range units {
			if u.job.ended() {
				return errors.Newf("job %s has ended, and waits for %s to tell whether it crashed", u.job.ID, id)
			}
		}
	}
	for account, tag := range s.fairQueue.finishTags {
		if tag < 0 {
			return errors.Newf("more was given back to account %s than it was charged", account.account)
		}
	}
	return nil
}

// verifyNode verifies the resources of a worker.
func (s *State) verifyNode(n *node) error {
	var used, held ids.Resources
	if len(n.runs) != len(n.runsByID) {
		return errors.Newf("worker %s has %d runs, and %d by id", n.ID, len(n.runs), len(n.runsByID))
	}
	for _, r := range n.runs {
		if n.runsByID[r.Run] != r {
			return errors.Newf("run %s of %s is not found by its id", r.Task, n.ID)
		}
		used = used.Plus(r.resources)
		if r.phase == runGone || r.node != n {
			return errors.Newf("run %s is gone, and on the list of %s", r.Task, n.ID)
		}
	}
	for _, u := range s.preempting {
		for _, other := range u.placement {
			if other == n {
				held = held.Plus(u.spec().Each)
			}
		}
	}
	if used != n.used || held != n.held {
		return errors.Newf("worker %s: %v used and %v held, and its runs take %v and units wait for %v", n.ID, n.used, n.held, used, held)
	}
	return nil
}

// verifyJob verifies that each unit has runs as its phase says.
func (s *State) verifyJob(j *Job) error {
	for _, u := range j.units {
		runs := 0
		for _, r := range u.runs {
			if r.isOnWorker() {
				runs++
				if !slices.Contains(r.node.runs, r) {
					return errors.Newf("run %s is not on the list of %s", r.Task, r.node.ID)
				}
			}
		}
		switch {
		case (u.phase == starting || u.phase == running) && j.ended():
			return errors.Newf("unit %d/%d of %s goes on after the end of its job", u.step, u.first, j.ID)
		case u.phase == running && runs < u.count:
			return errors.Newf("unit %d/%d of %s is in phase running with %d runs of %d", u.step, u.first, j.ID, runs, u.count)
		case (u.phase == waiting || u.phase == preempting) && runs > 0:
			return errors.Newf("unit %d/%d of %s is in phase %d with %d runs", u.step, u.first, j.ID, u.phase, runs)
		case u.phase == stopping && runs == 0:
			return errors.Newf("unit %d/%d of %s is being stopped without runs", u.step, u.first, j.ID)
		case (u.phase == preempting) != slices.Contains(s.preempting, u):
			return errors.Newf("unit %d/%d of %s is in phase %d against the list of units that preempt others", u.step, u.first, j.ID, u.phase)
		}
	}
	for _, st := range j.stages {
		var counts [phaseCount]int
		for _, u := range st.units {
			counts[u.phase]++
		}
		if counts != st.inPhase {
			return errors.Newf("step %d of %s: %v units by phase, and %v are counted", st.stepKey.step, j.ID, counts, st.inPhase)
		}
	}
	return nil
}
