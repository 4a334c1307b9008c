package pool

import (
	"fmt"
	"math"
	"time"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

const (
	// paceInterval is the shortest time over which progress is compared: the interval of the workers' reports, nearly.
	paceInterval = 900 * time.Millisecond
	// paceWindow is the progress in percent after which a run's rate is taken anew, so that a change shows.
	paceWindow = 30
	// paceSpread is the usual spread of the workers' paces, as a logarithm: some are a quarter slower than others.
	paceSpread = 0.2
	// slowerBound is how many times as long tasks take on a worker that counts as slower: half of what is usual between
	// the workers of a pool, and more than the error of progress in whole percent.
	slowerBound = 1.15
	// outlier is how many deviations off the expected run time a single task has to be to tell of its worker: one task in
	// several hundred is so by chance.
	outlier = 3
	// harmfulBound is how many times as long tasks take on a worker that is left out: a job then ends past its objective
	// with the least stretch that is usual, 1.5.
	harmfulBound = 2.0
)

// slowerPace is slowerBound as a logarithm.
var slowerPace = math.Log(slowerBound)

// slowness returns how many times as long tasks take on a worker as on the fast ones of the pool, as far as is known.
func (n *node) slowness() float64 { return max(1, n.slow) }

func (n *node) setPace(pace float64) {
	n.pace = max(0, pace)
	n.slow = math.Exp(n.pace)
}

func (n *node) slower() bool { return n.pace >= slowerPace }

// slowness returns that of the slowest worker of a unit: a gang goes on at its pace.
func (u *unit) slowness() float64 {
	most := 1.0
	for _, r := range u.runs {
		most = max(most, r.node.slowness())
	}
	return most
}

// paced learns the pace of a run's worker from the run's progress beside that of the other members of its gang, which have
// the same work to do. A worker on which it takes far longer is left out, and the gang leaves it if that ends it sooner.
func (s *State) paced(r *run, now time.Time) {
	u := r.unit
	if u.phase != running || r.percent >= 100 {
		return
	}
	if r.paceAt.IsZero() {
		r.paceAt, r.pacePercent = now, r.percent
	}
	took := now.Sub(r.paceAt)
	if took < paceInterval {
		return
	}
	// Progress is cut to whole percent.
	moved := float64(r.percent-r.pacePercent) + 0.5
	r.rate = moved / took.Seconds()
	best := 0.0
	for _, other := range u.runs {
		if other.node != r.node {
			best = max(best, other.rate*other.node.slowness())
		}
	}
	was := r.node.slower()
	bound := math.Log(harmfulBound)
	if best > 0 {
		// The comparison counts the less, the more whole percent may hide.
		wrong := 1 / moved / paceSpread
		r.node.setPace(r.node.pace + (math.Log(best/r.rate)-r.node.pace)/(1+wrong*wrong))
	} else {
		// Nothing works beside it: the queue's other tasks tell what to expect.
		best = 100 / s.runTimeThere(u).Seconds()
		bound = max(bound, outlier*s.estimates[u.job.Queue].deviation())
	}
	// What is certain in spite of whole percent tells at once, also of a worker on which nothing moves.
	if least := math.Log(best * took.Seconds() / (moved + 0.5)); least >= bound {
		r.node.setPace(max(r.node.pace, least))
	}
	if is := r.node.slower(); is != was {
		s.notice(Notice{
			Kind: "WorkerPace", Worker: r.node.ID, Job: u.job.ID, Step: u.step, Task: u.first, Tasks: u.count,
			Cause: fmt.Sprintf("tasks take %.2f times as long as on the fast workers", r.node.slowness()),
		})
	}
	if moved > paceWindow {
		r.paceAt, r.pacePercent = now, r.percent
	}
	if r.node.slowness() >= harmfulBound {
		s.leaveSlow(u, r, now)
	}
}

// leaveSlow leaves a slow worker out for a while, and stops a unit that would end sooner elsewhere.
func (s *State) leaveSlow(u *unit, r *run, now time.Time) {
	s.quarantine(r.node, u.job.ID, "tasks take far longer than on other workers", now)
	rest := time.Duration(float64(100-r.percent) / r.rate * float64(time.Second))
	again := s.runTime(u)
	if u.spec().Checkpoints {
		again = again*time.Duration(100-r.percent)/100 + s.Times.Restore
	}
	if rest > again+restartWait {
		u.avoidNode(r.node.ID, now)
		s.abort(u, "it would end sooner elsewhere than on the slow worker "+string(r.node.ID), now)
	}
}

// paceFrom begins the measure of the runs' rates at the start of their work.
func (u *unit) paceFrom(now time.Time) {
	for _, r := range u.runs {
		r.paceAt, r.pacePercent, r.rate = now, 0, 0
	}
}

// slowest returns the slowness of the slowest worker of a place.
func slowest(place []*node) float64 {
	most := 1.0
	for _, n := range place {
		most = max(most, n.slowness())
	}
	return most
}

// fastRoom is a measure of room that leaves out the slower workers.
func fastRoom(room func(n *node) ids.Resources) func(n *node) ids.Resources {
	return func(n *node) ids.Resources {
		if n.slower() {
			return ids.Resources{}
		}
		return room(n)
	}
}
