package pool

import (
	"strings"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// remainingCapacity is the capacity outside the evacuated data centres.
type remainingCapacity struct {
	// reduced is set if workers are in evacuated data centres. The fields below are used only then.
	reduced bool
	// guaranteeShare is the part of each guarantee that the capacity covers.
	guaranteeShare float64
	// fits caches, by shape, whether a unit fits there if nothing else runs.
	fits map[gangShape]bool
}

// updateRemaining updates the remaining capacity after a change of the evacuations, the workers or the guarantees.
func (s *State) updateRemaining() {
	old := s.remainingPool
	s.remainingPool = remainingCapacity{guaranteeShare: 1}
	accelerators, guaranteed := ids.Accelerators(0), ids.Accelerators(0)
	for _, n := range s.nodes {
		switch {
		case n.evacuated:
			s.remainingPool.reduced = true
		case n.listed:
			accelerators += n.Total.Accelerators
		}
	}
	if s.remainingPool.reduced {
		s.remainingPool.fits = make(map[gangShape]bool)
		for _, a := range s.accounts {
			guaranteed += a.Guaranteed
		}
		if guaranteed > accelerators {
			s.remainingPool.guaranteeShare = float64(accelerators) / float64(guaranteed)
		}
	}
	if s.remainingPool.reduced != old.reduced || s.remainingPool.guaranteeShare != old.guaranteeShare {
		s.guaranteedChanged = true
	}
}

// guaranteeOf returns the accelerators guaranteed to an account. If the remaining capacity doesn't cover all guarantees, each is
// reduced by the same share.
func (s *State) guaranteeOf(id ids.AccountID) ids.Accelerators {
	guaranteed := s.accounts[id].Guaranteed
	if !s.remainingPool.reduced {
		return guaranteed
	}
	return ids.Accelerators(s.remainingPool.guaranteeShare * float64(guaranteed))
}

// fitsRemaining reports whether a unit would fit outside the evacuated data centres if nothing else ran. It is always true while none has
// workers.
func (s *State) fitsRemaining(u *unit) bool {
	if !s.remainingPool.reduced {
		return true
	}
	spec, key := u.spec(), u.shape()
	fits, known := s.remainingPool.fits[key]
	if known {
		return fits
	}
	tasks := 0
	for _, n := range s.nodes {
		if n.evacuated || n.Service != u.job.Service || !n.hasLabel(spec.Label) {
			continue
		}
		copies := n.Total.Copies(spec.Each, u.count)
		if spec.MaxPerWorker > 0 {
			copies = min(copies, spec.MaxPerWorker)
		}
		if tasks += copies; tasks >= u.count {
			fits = true
			break
		}
	}
	s.remainingPool.fits[key] = fits
	return fits
}

// shape returns the cache key of what a unit requires of a set of workers.
func (u *unit) shape() gangShape {
	spec := u.spec()
	return gangShape{service: u.job.Service, label: spec.Label, each: spec.Each, count: u.count, maxPerWorker: spec.MaxPerWorker}
}

// refuseEvacuated refuses a job with a step that fits only with workers in evacuated data centres. When these take work again is not
// known, so the caller returns after the longest delay.
func (s *State) refuseEvacuated(j *Job) *Refusal {
	for _, st := range j.stages {
		if !s.fitsRemaining(st.units[0]) {
			return &Refusal{Reason: "a step needs workers that are not available now" + s.evacuationCause(), RetryAfter: maxRetryAfter}
		}
	}
	return nil
}

// evacuationCause names the evacuated data centres in the reason of a refusal; it is empty if there are none.
func (s *State) evacuationCause() string {
	var names []string
	for _, id := range s.evacuations.Requested() {
		if s.WorkersIn(id) > 0 {
			names = append(names, string(id))
		}
	}
	if len(names) == 0 {
		return ""
	}
	return "; being evacuated: " + strings.Join(names, ", ")
}
