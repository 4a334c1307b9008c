package pool

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// burstOutcome counts the urgent jobs of a burst by what became of them.
	burstOutcome struct {
		submitted, admitted, refused int
		// refusedInTime counts the refused jobs that could have started in time after all jobs that waited, on free workers or by a
		// preemption.
		refusedInTime int
		// late counts the admitted jobs that missed their objective.
		late int
	}

	// refusedJob is a refused job for which room is still sought.
	refusedJob struct {
		job     *Job
		runTime time.Duration
		// last is the latest start at which the job would be in time.
		last time.Time
		// room holds the workers on which it would have run until the given time.
		room  []*node
		until time.Time
	}
)

func (o *burstOutcome) add(other burstOutcome) {
	o.submitted += other.submitted
	o.admitted += other.admitted
	o.refused += other.refused
	o.refusedInTime += other.refusedInTime
	o.late += other.late
}

// urgentBurst is a burst of urgent gangs over 12 s, far beyond the guarantees, onto a pool with a usual load. Twice within 8 s a tenth
// of the workers leaves at a notice of 2 s.
var urgentBurst = fleet{
	racks: 44, perRack: 8, accounts: 10, perSecond: 12, length: 24 * time.Second,
	bursts: []fleetBurst{{kind: "urgent", at: 8 * time.Second, length: 12 * time.Second, factor: 4}},
}

const (
	// storeTime is how long the store takes for a batch of acceptances.
	storeTime = 60 * time.Millisecond
	// roomInterval is the time between checks whether a refused job would have found room.
	roomInterval = 20 * time.Millisecond
)

// playBurst plays a burst whose clients don't retry.
func (f fleet) playBurst(seed uint64) burstOutcome {
	s := f.start(seed)
	s.slowdown, s.uneven = nil, 0
	accounts := make(map[ids.AccountID]Account)
	for i := range f.accounts {
		accounts[ids.AccountID(fmt.Sprintf("account%02d", i))] = Account{Guaranteed: 64}
	}
	s.SetAccounts(accounts)
	for _, at := range []time.Duration{11 * time.Second, 19 * time.Second} {
		s.at(at, func() {
			left := slices.Clone(s.list)
			for _, i := range s.random.Perm(len(left))[:len(left)/10] {
				if !left[i].Draining {
					s.drain(left[i].ID, 2*time.Second)
				}
			}
		})
	}
	var o burstOutcome
	var refused []*refusedJob
	submissions := f.submissions(rand.New(rand.NewPCG(seed, 3)))
	admitted := make(map[ids.JobID]submission)
	for _, sub := range submissions {
		s.at(sub.submitAt, func() {
			j := sub.job
			j.Submitted = s.now
			urgent := j.Priority == 0 && sub.submitAt >= f.bursts[0].at && sub.submitAt < f.bursts[0].at+f.bursts[0].length
			if urgent {
				o.submitted++
			}
			if refusal := s.Admit(j, s.now); refusal != nil {
				if urgent {
					o.refused++
					refused = append(refused, &refusedJob{job: j, runTime: sub.runTime, last: s.now.Add(sub.objective() - sub.runTime)})
				}
				return
			}
			s.runTimes[j.ID] = sub.runTime
			s.Offer(j)
			s.at(storeTime, func() { s.MarkStored(j.ID, j.Version()) })
			if urgent {
				admitted[j.ID] = sub
			}
		})
	}
	var check func()
	check = func() {
		s.decide()
		refused = slices.DeleteFunc(refused, func(r *refusedJob) bool {
			return s.now.After(r.until) && s.now.Add(simStopTime).After(r.last)
		})
		o.refusedInTime += s.findRoom(refused)
		s.at(roomInterval, check)
	}
	s.at(roomInterval, check)
	s.playFor(f.length + 20*time.Second)
	for id, sub := range admitted {
		o.admitted++
		end := s.finishedAt[id]
		if end.IsZero() || end.Sub(testStart.Add(sub.submitAt)) > sub.objective() {
			o.late++
		}
	}
	return o
}

// findRoom looks for room for refused jobs beside each other, and returns the number of those that have found it.
func (s *sim) findRoom(refused []*refusedJob) int {
	hold := func(r *refusedJob, sign int) {
		for _, n := range r.room {
			n.held = n.held.Plus(r.job.Steps[0].Each.Times(sign))
			s.capacityChanged(n)
		}
	}
	for _, r := range refused {
		hold(r, 1)
	}
	found := 0
	for _, r := range refused {
		if r.room != nil {
			continue
		}
		u := r.job.units[0]
		if r.room = s.findPlacement(u, s.now, 0); r.room == nil {
			r.room, _ = s.preemptionPlan(u, s.now)
		}
		if r.room != nil {
			r.until = s.now.Add(r.runTime)
			hold(r, 1)
			found++
		}
	}
	for _, r := range refused {
		hold(r, -1)
	}
	return found
}

// An urgent burst with departures: hardly any job is refused that would have been in time, and hardly any accepted job is late.
// It guards against a forecast that counts the whole queue before each job: it refused 354 of 2,140 jobs for which there was room beyond
// the capacity, and 114 of the 1,706 accepted ones were late (three seeds).
//
// The 2% for refusals are met up to the pool's capacity. Beyond it, wide gangs are still refused for which a preemption frees a rack
// later, and the bound guards what is reached.
func TestPatternUrgentBurst(t *testing.T) {
	const seeds = 6
	for name, test := range map[string]struct{ factor, refusedInTime, late float64 }{
		"up to the capacity": {factor: 5, refusedInTime: 0.02, late: 0.05},
		"beyond it":          {factor: 7, refusedInTime: 0.05, late: 0.05},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := urgentBurst
			f.bursts = []fleetBurst{{kind: "urgent", at: f.bursts[0].at, length: f.bursts[0].length, factor: test.factor}}
			var sum burstOutcome
			for seed := range uint64(seeds) {
				sum.add(f.playBurst(seed))
			}
			t.Logf("%+v", sum)
			require.LessOrEqual(t, float64(sum.refusedInTime), test.refusedInTime*float64(sum.submitted))
			require.LessOrEqual(t, float64(sum.late), test.late*float64(sum.admitted))
		})
	}
}
