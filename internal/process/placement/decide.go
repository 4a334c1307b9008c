package placement

import (
	"sort"
	"time"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// Decide places the queued jobs that fit and returns the actions and notices since the last call. It verifies the
// invariants with Check before it returns.
func (s *State) Decide(now time.Time) ([]Action, []Notice) {
	s.init()
	s.releaseQuarantined(now)
	s.enqueueAfterBackoff(now)
	s.expireAvoidance(now)
	s.updateEvacuation(now)
	s.repairEntitlements()
	unplacedBefore := s.unplacedCount
	if !s.evacuated {
		s.placeGuaranteed(now)
		s.placeBorrowers(now)
	}
	s.startAllocated(now)
	s.reportEntitlements()
	if err := s.Check(unplacedBefore); err != nil {
		s.reportViolation(err)
	}
	actions, notices := s.actions, s.notices
	s.actions, s.notices = nil, nil
	return actions, notices
}

func (s *State) reportViolation(err error) {
	if s.OnViolation == nil {
		panic(err)
	}
	s.OnViolation(err)
}

// placeGuaranteed places jobs under their accounts' guarantees: the urgent jobs of all accounts first.
func (s *State) placeGuaranteed(now time.Time) {
	if len(s.entitlements) == 0 {
		return
	}
	for _, urgent := range []bool{true, false} {
		for _, q := range s.sortedQueues() {
			s.placeGuaranteedFromQueue(q, urgent, now)
		}
	}
}

func (s *State) placeGuaranteedFromQueue(q *queue, urgent bool, now time.Time) {
	for _, c := range append([]*class(nil), q.sortedClasses()...) {
		if c.key.urgent != urgent || (s.holdNonIdempotent && !c.key.idempotent) {
			continue
		}
		for len(c.jobs) > 0 && c.guaranteedRetryVersion <= s.capacityVersion {
			if !s.placeGuaranteedJob(c.jobs[0], now) {
				c.guaranteedRetryVersion = s.capacityVersion + 1
			}
		}
	}
}

// placeGuaranteedJob places a job in a guaranteed shape of its account and reports whether one could hold it. It prefers
// free nodes and preempts borrowers only if there are none.
func (s *State) placeGuaranteedJob(j *Job, now time.Time) bool {
	var best *grant
	for _, e := range s.entitlements {
		if e.guarantee.Account != j.Account || !s.canHold(e, j) {
			continue
		}
		if g := s.findGrant(e, j, now); g != nil && (best == nil || g.better(best)) {
			best = g
		}
	}
	if best == nil {
		return false
	}
	if best.newPlace != nil {
		best.entitlement.unassign()
		best.entitlement.assign(best.newPlace)
	}
	s.dequeue(j)
	s.allocateGuaranteed(j, best, now)
	return true
}

// canHold reports whether the shape, if unused, satisfies the job's size and adjacency.
func (s *State) canHold(e *entitlement, j *Job) bool {
	if adjacencyRank(j.Shape.Adjacent) > 0 && e.shape.Adjacent != j.Shape.Adjacent && e.shape.Adjacent != ids.SameInstance {
		return false
	}
	return e.shape.Each.Copies(j.Shape.Each, j.Shape.Tasks)*e.shape.Tasks >= j.Shape.Tasks
}

// placeBorrowers places jobs outside the guarantees. The account with the least borrowed resources relative to its weight
// goes first; accounts whose oldest job is past its order time by more than the ageing time go before all others.
func (s *State) placeBorrowers(now time.Time) {
	queues := s.sortedQueues()
	borrowed := s.borrowedByAccount()
	blocked := make(map[ids.AccountID]bool)
	s.refreshReservation(now)
	for {
		q := s.nextBorrowerQueue(queues, borrowed, blocked, now)
		if q == nil {
			return
		}
		j := s.placeBorrowerFromQueue(q, now)
		if j == nil {
			blocked[q.account] = true
			continue
		}
		borrowed[q.account] += dominantAccelerators(j.Shape.Total())
	}
}

func (s *State) nextBorrowerQueue(queues []*queue, borrowed map[ids.AccountID]float64, blocked map[ids.AccountID]bool, now time.Time) *queue {
	var best *queue
	bestRank := 0.0
	for _, q := range queues {
		if q.length == 0 || blocked[q.account] {
			continue
		}
		rank := borrowed[q.account] / s.account(q.account).Weight
		if s.Policy.ArrivalOrder {
			rank = -now.Sub(q.sortedClasses()[0].jobs[0].AcceptanceTime()).Seconds()
		} else if age := now.Sub(q.oldestOrderTime()); age > s.ageingAfter() {
			rank = -age.Seconds()
		}
		if best == nil || rank < bestRank {
			best, bestRank = q, rank
		}
	}
	return best
}

func (s *State) ageingAfter() time.Duration {
	const defaultAgeing = 10 * time.Minute
	if s.config.Policy.AgeingAfter > 0 {
		return s.config.Policy.AgeingAfter
	}
	return defaultAgeing
}

func (q *queue) oldestOrderTime() time.Time {
	var oldest time.Time
	for _, c := range q.sorted {
		if head := c.jobs[0]; oldest.IsZero() || head.orderTime.Before(oldest) {
			oldest = head.orderTime
		}
	}
	return oldest
}

// borrowedByAccount returns each account's resources outside its guarantees, in accelerators.
func (s *State) borrowedByAccount() map[ids.AccountID]float64 {
	borrowed := make(map[ids.AccountID]float64)
	for _, j := range s.placed {
		if j.entitlement == nil {
			borrowed[j.Account] += dominantAccelerators(j.Each.Times(len(j.Place)))
		}
	}
	return borrowed
}

// dominantAccelerators returns the dominant resource in units of accelerators. Cores are converted at the usual number of
// cores per accelerator; memory is ignored.
func dominantAccelerators(r ids.Resources) float64 {
	const milliCoresPerAccelerator = 8000
	return max(float64(r.Accelerators), float64(r.Cores)/milliCoresPerAccelerator)
}

// placeBorrowerFromQueue places the first borrower of an account that fits and returns it, or nil if none fits.
func (s *State) placeBorrowerFromQueue(q *queue, now time.Time) *Job {
	for _, c := range q.sortedClasses() {
		if s.holdNonIdempotent && !c.key.idempotent {
			continue
		}
		if c.borrowRetryVersion > s.capacityVersion {
			if s.Policy.ArrivalOrder {
				return nil
			}
			continue
		}
		j := c.jobs[0]
		if s.overQuota(j) {
			c.borrowRetryVersion = s.capacityVersion + 1
			continue
		}
		if place := s.findForBorrower(j, now); place != nil {
			s.dequeue(j)
			s.allocateBorrower(j, place, now)
			return j
		}
		c.borrowRetryVersion = s.capacityVersion + 1
		s.reserveFor(j, now)
		if s.Policy.ArrivalOrder {
			return nil
		}
	}
	return nil
}

func (s *State) overQuota(j *Job) bool {
	quota := s.account(j.Account).Quota
	if quota == 0 {
		return false
	}
	sum := j.Shape.Total().Accelerators
	for _, other := range s.placed {
		if other.Account == j.Account {
			sum += other.Each.Accelerators * ids.Accelerators(len(other.Place))
		}
	}
	return sum > quota
}

// findForBorrower returns the nodes on which a borrower fits without preemption, or nil.
func (s *State) findForBorrower(j *Job, now time.Time) []*node {
	each := s.estimates.taskSize(j)
	if s.capacityBound.maxTasks(s.nodes, each.Accelerators) < j.Shape.Tasks {
		return nil
	}
	w := search{
		tasks: j.Shape.Tasks, each: each, adjacent: j.Shape.Adjacent, firstFit: s.Policy.FirstFit,
		available: func(n *node) ids.Resources { return s.availableToBorrower(j, n, now) },
		cost:      func(n *node, tasks int) float64 { return s.borrowerCost(j, n, each.Times(tasks)) },
		rackLimit: s.borrowerLimit(each, (*rack).free),
	}
	place := s.find(w)
	if place != nil {
		j.Each = each
	}
	return place
}

// availableToBorrower returns the resources of a node that a borrower may use.
func (s *State) availableToBorrower(j *Job, n *node, now time.Time) ids.Resources {
	if !n.isSchedulable() || j.avoids(n, now) || !s.selectorsMatch(j, n) || s.reservedForOther(j, n, now) {
		return ids.Resources{}
	}
	available := n.free()
	if !j.Idempotent && !s.Policy.NoReclaimWitness {
		available = minResources(available, n.uncommitted())
	}
	return available
}

// borrowerLimit returns a search's limit on the tasks of a borrower in one rack, which leave the rack reserve of the rack's free
// accelerators free. It is nil if there is no reserve or the tasks need no accelerators.
func (s *State) borrowerLimit(each ids.Resources, free func(r *rack) ids.Accelerators) func(r *rack) int {
	reserve := s.config.Policy.RackReserve
	if reserve == 0 || each.Accelerators == 0 {
		return nil
	}
	return func(r *rack) int { return max(0, int((free(r)-reserve)/each.Accelerators)) }
}

func minResources(a, b ids.Resources) ids.Resources {
	return ids.Resources{Accelerators: min(a.Accelerators, b.Accelerators), Cores: min(a.Cores, b.Cores), Memory: min(a.Memory, b.Memory)}
}

func (s *State) selectorsMatch(j *Job, n *node) bool {
	if selector := s.account(j.Account).Selector; selector != nil && !selector.Matches(n.Labels) {
		return false
	}
	return j.selector.Empty() || j.selector.Matches(n.Labels)
}

// allocateBorrower assigns nodes to a job as a borrower and starts it if they are free.
func (s *State) allocateBorrower(j *Job, place []*node, now time.Time) {
	j.Place = nodeIDs(place)
	s.placed[j.ID] = j
	s.capacityBound.invalidate()
	for _, n := range place {
		n.used = n.used.Plus(j.Each)
		n.jobs[j.ID] = j
		if j.isNonPreemptibleBorrower() {
			n.nonPreemptible = n.nonPreemptible.Plus(j.Each)
		}
	}
	j.phase = allocated
	s.startIfReady(j, now)
}

// release frees a job's nodes.
func (s *State) release(j *Job) {
	delete(s.placed, j.ID)
	s.capacityBound.invalidate()
	for i, id := range j.Place {
		n := s.nodes[id]
		if n == nil {
			continue
		}
		n.used = n.used.Minus(j.Each)
		delete(n.jobs, j.ID)
		if j.isNonPreemptibleBorrower() {
			n.nonPreemptible = n.nonPreemptible.Minus(j.Each)
		}
		if j.entitlement != nil && j.slots != nil {
			e, slot := j.entitlement, j.slots[i]
			e.free[slot] = e.free[slot].Plus(j.Each)
			n.guaranteedUsed = n.guaranteedUsed.Minus(j.Each)
		}
	}
	if j.entitlement != nil {
		j.entitlement.userCount--
	}
	j.entitlement, j.slots, j.Place, j.awaitedStops = nil, nil, nil, nil
	j.partial = false
	s.capacityGrew()
}

// startAllocated starts the allocated jobs whose nodes have become free.
func (s *State) startAllocated(now time.Time) {
	var waiting []*Job
	for _, j := range s.placed {
		if j.phase == allocated {
			waiting = append(waiting, j)
		}
	}
	sort.Slice(waiting, func(i, k int) bool { return ordersBefore(waiting[i], waiting[k]) })
	for _, j := range waiting {
		s.startIfReady(j, now)
	}
}

func (s *State) startIfReady(j *Job, now time.Time) {
	if j.phase != allocated {
		return
	}
	for id := range j.awaitedStops {
		other := s.jobs[id]
		if other == nil || other.phase != stopping {
			delete(j.awaitedStops, id)
		}
	}
	if len(j.awaitedStops) > 0 && !s.Policy.NoPreemptionWait {
		return
	}
	if place := tasksByNode(s.nodesOf(j)); !fits(j, place) && !s.Policy.NoPreemptionWait {
		s.reclaim(j, place, now)
		return
	}
	j.phase = starting
	j.RanUnderGuarantee = j.UnderGuarantee()
	j.Attempt++
	j.Started = now
	j.Reason = ""
	s.actions = append(s.actions, Action{Kind: Start, Job: j, Attempt: j.Attempt})
	s.notice(Notice{Kind: NoticePlaced, Job: j.ID, Account: j.Account, Cause: placedCause(j)})
}

// fits reports whether the job fits on its nodes beside all started jobs there.
func fits(j *Job, place map[*node]int) bool {
	for n, tasks := range place {
		held := j.Each.Times(tasks)
		for _, other := range n.jobs {
			if other.phase != allocated {
				held = held.Plus(other.Each.Times(other.tasksOn(n.ID)))
			}
		}
		if !n.Total.Contains(held) {
			return false
		}
	}
	return true
}

// nodesOf returns the nodes of a job's tasks, without those that are unknown.
func (s *State) nodesOf(j *Job) []*node {
	place := make([]*node, 0, len(j.Place))
	for _, id := range j.Place {
		if n := s.nodes[id]; n != nil {
			place = append(place, n)
		}
	}
	return place
}

func placedCause(j *Job) string {
	if j.entitlement != nil {
		return "guarantee " + j.entitlement.guarantee.Name
	}
	return "free accelerators beyond the guarantees"
}
