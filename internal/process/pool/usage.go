package pool

import (
	"math"
	"time"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// usage holds the recently admitted work of priority 0 by account. The fair queue orders the other priorities.
	usage struct {
		work map[ids.AccountID]*decayingSum
		// refusedAt is when a job of an account within its share was last refused.
		refusedAt time.Time
	}

	// decayingSum is a sum at a time, which halves with each usageHalfLife from then on.
	decayingSum struct {
		sum float64
		at  time.Time
	}

	// Usage is the stored form of the accounts' recent usage.
	Usage struct {
		// At is the time at which the sums applied, by the wall clock of the owner.
		At time.Time
		// Seconds holds the usage by account, in seconds of the whole pool.
		Seconds map[ids.AccountID]float64
	}
)

const (
	// usageHalfLife is the time in which an account's usage halves: a few times the length of an urgent job.
	usageHalfLife = 12 * time.Second
	// shareTolerance is the factor by which an account may exceed its share, since few jobs already change the usage of a small account.
	shareTolerance = 1.25
	// scarceTime is how long after a refusal of an account within its share the others are held to their shares.
	scarceTime = time.Second
	// minContention is the usage of all accounts, as a fraction of the pool's capacity in usageHalfLife, below which shares are not
	// exceeded. With 0.5, 97 to 100 instead of about 70 of 2,140 jobs of TestPatternUrgentBurst are refused with room.
	minContention = 0.7
	// minUsage is the usage below which an account counts as inactive.
	minUsage = 0.001
)

func (d decayingSum) value(now time.Time) float64 {
	return d.sum * math.Exp2(-max(0, now.Sub(d.at).Seconds())/usageHalfLife.Seconds())
}

// addUsage adds an admitted job to the recent usage of its account.
func (s *State) addUsage(j *Job, now time.Time) {
	if j.Priority != 0 {
		return
	}
	if s.usage.work == nil {
		s.usage.work = make(map[ids.AccountID]*decayingSum)
	}
	d := s.usage.work[j.Account]
	if d == nil {
		d = &decayingSum{}
		s.usage.work[j.Account] = d
	}
	sum := d.value(now)
	for i, step := range j.Steps {
		sum += dominantShare(step.Each.Times(step.Tasks), s.total) * s.stepRunTime(j, i).Seconds()
	}
	*d = decayingSum{sum, now}
}

// isHeldToShare reports whether a job that needs room later is refused in favour of other accounts: its account has recently used more
// than its share, and one within its share was refused.
func (s *State) isHeldToShare(j *Job, now time.Time) bool {
	return j.Priority == 0 && now.Sub(s.usage.refusedAt) < scarceTime && s.exceedsShare(j, now)
}

// recordRefusal records that a job is refused for lack of room.
func (s *State) recordRefusal(j *Job, now time.Time) {
	if j.Priority == 0 && !s.exceedsShare(j, now) {
		s.usage.refusedAt = now
	}
}

// exceedsShare reports whether a job's account has recently used more than its share of what all active accounts used. Shares are
// proportional to the guarantees.
func (s *State) exceedsShare(j *Job, now time.Time) bool {
	own, all, weights := 0.0, 0.0, 0.0
	for id, d := range s.usage.work {
		v := d.value(now)
		if v < minUsage {
			delete(s.usage.work, id)
			continue
		}
		weight := float64(max(1, s.accounts[id].Guaranteed))
		all += v
		weights += weight
		if id == j.Account {
			own = v / weight
		}
	}
	return own > 0 && own > shareTolerance*max(all, minContention*usageHalfLife.Seconds())/weights
}

// Usage returns the accounts' recent usage.
func (s *State) Usage(now time.Time) Usage {
	const precision = 1000
	u := Usage{At: now.Round(0), Seconds: make(map[ids.AccountID]float64)}
	for id, d := range s.usage.work {
		if v := d.value(now); v >= minUsage {
			u.Seconds[id] = math.Round(v*precision) / precision
		}
	}
	return u
}

// SetUsage restores the usage that an earlier owner recorded.
func (s *State) SetUsage(u Usage) {
	s.usage.work = make(map[ids.AccountID]*decayingSum)
	for id, sum := range u.Seconds {
		s.usage.work[id] = &decayingSum{sum, u.At}
	}
}
