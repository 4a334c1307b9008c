package pool

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// Policy is what a queue prescribes for its jobs. A job has that of the newest configuration that names its queue.
type Policy struct {
	Service  ids.ServiceID
	Priority int
	// MaxAttempts is the number of failures of one task or gang after which a job fails.
	MaxAttempts int
	// Stretch and Target define a job's objective: to end within Stretch times its critical path, plus Target.
	Stretch float64
	Target  time.Duration
}

// policy returns the policy that the job has.
func (j *Job) policy() Policy {
	return Policy{Service: j.Service, Priority: j.Priority, MaxAttempts: j.MaxAttempts, Stretch: j.Stretch, Target: j.Target}
}

// difference describes what another policy changes, such as "service a to b".
func (p Policy) difference(other Policy) string {
	var list []string
	add := func(what string, old, changed any) {
		if old != changed {
			list = append(list, fmt.Sprintf("%s %v to %v", what, old, changed))
		}
	}
	add("service", p.Service, other.Service)
	add("priority", p.Priority, other.Priority)
	add("attempts", p.MaxAttempts, other.MaxAttempts)
	add("stretch", p.Stretch, other.Stretch)
	add("target", p.Target, other.Target)
	return strings.Join(list, ", ")
}

// SetPolicies applies the policies of a configuration to the jobs that have not ended. policyOf reports false for a job whose queue the configuration does not name;
// it keeps the policy that it has. Units that run go on where they are.
func (s *State) SetPolicies(policyOf func(*Job) (Policy, bool), now time.Time) {
	s.init()
	moved := false
	for _, j := range slices.Clone(s.live) {
		p, named := policyOf(j)
		if !named || p == j.policy() {
			continue
		}
		s.notice(Notice{Kind: "PolicyChanged", Job: j.ID, Priority: p.Priority, Cause: j.policy().difference(p), After: j.age(now)})
		moved = moved || p.Service != j.Service
		s.setPolicy(j, p)
		if j.stored && !s.recovering {
			for _, u := range j.units {
				s.failIfExhausted(u, now)
			}
		}
	}
	if moved {
		// What fits where is kept by the services of the jobs.
		s.rebuildRacks()
	}
}

func (s *State) setPolicy(j *Job, p Policy) {
	if p.Priority != j.Priority {
		s.removeLive(j)
		defer s.insertLive(j)
	}
	if p.Service != j.Service {
		s.releaseWorkers(j)
	}
	j.Service, j.Priority, j.MaxAttempts, j.Stretch, j.Target = p.Service, p.Priority, p.MaxAttempts, p.Stretch, p.Target
	// Only jobs of priority 0 are looked at when the guarantees are divided.
	j.guaranteed, s.guaranteedChanged = false, true
	s.markDirty(j)
	s.requestPass()
}

// releaseWorkers gives up the workers that are meant for the waiting units of a job.
func (s *State) releaseWorkers(j *Job) {
	for _, st := range j.stages {
		isActive := false
		for _, u := range st.units {
			if u.phase == preempting {
				s.releasePlacement(u)
				u.setPhase(waiting)
			}
			if u.phase == waiting {
				u.trialPlacement = nil
				s.endIsolation(u)
			}
			isActive = isActive || u.phase != waiting && u.phase != done
		}
		if !isActive {
			delete(j.stepRacks, st.stepKey)
		}
	}
}
