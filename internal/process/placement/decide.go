package placement

import (
	"sort"
	"time"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// Decide places what can be placed and returns the actions and notices since the last call.
// It asserts the invariants of Check before it returns.
func (s *State) Decide(now time.Time) ([]Action, []Notice) {
	s.init()
	s.releaseQuarantined(now)
	s.enqueueDelayed(now)
	s.endAvoidance(now)
	s.repairEntries()
	brokenBefore := s.broken
	s.placeOwed(now)
	s.placeBorrowers(now)
	s.startAllocated(now)
	s.reportEntries()
	if err := s.Check(brokenBefore); err != nil {
		s.violated(err)
	}
	actions, notices := s.actions, s.notices
	s.actions, s.notices = nil, nil
	return actions, notices
}

func (s *State) violated(err error) {
	if s.Violated == nil {
		panic(err)
	}
	s.Violated(err)
}

// placeOwed places the work that guarantees owe: urgent work of all accounts first.
func (s *State) placeOwed(now time.Time) {
	if len(s.entries) == 0 {
		return
	}
	for _, urgent := range []bool{true, false} {
		for _, q := range s.sortedQueues() {
			s.placeOwedOf(q, urgent, now)
		}
	}
}

func (s *State) placeOwedOf(q *queue, urgent bool, now time.Time) {
	for _, c := range append([]*class(nil), q.heads()...) {
		if c.key.urgent != urgent || (s.holdOnce && !c.key.idempotent) {
			continue
		}
		for len(c.jobs) > 0 && c.failedOwed <= s.growth {
			if !s.placeOwedJob(c.jobs[0], now) {
				c.failedOwed = s.growth + 1
			}
		}
	}
}

// placeOwedJob gives a job a guaranteed shape of its account that holds it, if one is left.
// It prefers a place that is free, and stops borrowers only where there is none.
func (s *State) placeOwedJob(j *Job, now time.Time) bool {
	var best *grant
	for _, e := range s.entries {
		if e.guarantee.Account != j.Account || !s.mayHold(e, j) {
			continue
		}
		if g := s.grantOf(e, j, now); g != nil && (best == nil || g.better(best)) {
			best = g
		}
	}
	if best == nil {
		return false
	}
	if best.moved != nil {
		best.entry.clear()
		best.entry.set(best.moved)
	}
	s.dequeue(j)
	s.allocateOwed(j, best, now)
	return true
}

// mayHold reports whether the whole shape is large and close enough for the job.
func (s *State) mayHold(e *entry, j *Job) bool {
	if rank(j.Shape.Adjacent) > 0 && e.shape.Adjacent != j.Shape.Adjacent && e.shape.Adjacent != ids.SameInstance {
		return false
	}
	return e.shape.Each.Copies(j.Shape.Each, j.Shape.Tasks)*e.shape.Tasks >= j.Shape.Tasks
}

// placeBorrowers places work beyond the guarantees. The account that holds the least for its weight goes first;
// jobs that have waited beyond the ageing time go before all.
func (s *State) placeBorrowers(now time.Time) {
	queues := s.sortedQueues()
	held := s.borrowed()
	blocked := make(map[ids.AccountID]bool)
	s.refreshReservation(now)
	for {
		q := s.nextBorrower(queues, held, blocked, now)
		if q == nil {
			return
		}
		j := s.placeBorrowerOf(q, now)
		if j == nil {
			blocked[q.account] = true
			continue
		}
		held[q.account] += dominant(j.Shape.Total())
	}
}

func (s *State) nextBorrower(queues []*queue, held map[ids.AccountID]float64, blocked map[ids.AccountID]bool, now time.Time) *queue {
	var best *queue
	bestRank := 0.0
	for _, q := range queues {
		if q.length == 0 || blocked[q.account] {
			continue
		}
		rank := held[q.account] / s.account(q.account).Weight
		if s.Policy.ArrivalOrder {
			rank = float64(q.heads()[0].jobs[0].Submitted.UnixNano())
		} else if age := now.Sub(q.oldest()); age > s.ageingAfter() {
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

func (q *queue) oldest() time.Time {
	var oldest time.Time
	for _, c := range q.sorted {
		if head := c.jobs[0]; oldest.IsZero() || head.key.Before(oldest) {
			oldest = head.key
		}
	}
	return oldest
}

// borrowed sums what each account holds beyond its guarantees.
func (s *State) borrowed() map[ids.AccountID]float64 {
	held := make(map[ids.AccountID]float64)
	for _, j := range s.placed {
		if j.entry == nil {
			held[j.Account] += dominant(j.Each.Times(len(j.Place)))
		}
	}
	return held
}

// dominant weighs resources by accelerators, and those without by the cores that usually go with one.
func dominant(r ids.Resources) float64 {
	const coresPerAccelerator = 8000
	return max(float64(r.Accelerators), float64(r.Cores)/coresPerAccelerator)
}

// placeBorrowerOf places one borrower of an account and returns it, or nil if none fits.
func (s *State) placeBorrowerOf(q *queue, now time.Time) *Job {
	for _, c := range q.heads() {
		if s.holdOnce && !c.key.idempotent {
			continue
		}
		if c.failed > s.growth {
			if s.Policy.ArrivalOrder {
				return nil
			}
			continue
		}
		j := c.jobs[0]
		if s.overQuota(j) {
			c.failed = s.growth + 1
			continue
		}
		if place := s.findForBorrower(j, now); place != nil {
			s.dequeue(j)
			s.allocate(j, place, now)
			return j
		}
		c.failed = s.growth + 1
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

// findForBorrower returns free nodes for a job outside the guarantees.
func (s *State) findForBorrower(j *Job, now time.Time) []*node {
	each := s.estimates.size(j)
	if s.room.copies(s.nodes, each.Accelerators) < j.Shape.Tasks {
		return nil
	}
	w := search{
		tasks: j.Shape.Tasks, each: each, adjacent: j.Shape.Adjacent, first: s.Policy.FirstFit,
		room: func(n *node) ids.Resources { return s.borrowerRoom(j, n, now) },
		cost: func(n *node, tasks int) float64 { return s.borrowerCost(j, n, each.Times(tasks)) },
	}
	place := s.find(w)
	if place != nil {
		j.Each = each
	}
	return place
}

// borrowerRoom returns what a borrower may use of a node.
func (s *State) borrowerRoom(j *Job, n *node, now time.Time) ids.Resources {
	if !n.open() || j.avoids(n, now) || !s.matches(j, n) || s.reservedAgainst(j, n, now) {
		return ids.Resources{}
	}
	room := n.free()
	if !j.Idempotent && !s.Policy.NoWitness {
		room = atMost(room, n.guaranteed())
	}
	if reserve := s.rackReserve(n); reserve > 0 {
		room.Accelerators = min(room.Accelerators, max(0, reserve))
	}
	return room
}

// rackReserve returns what borrowers may still take of the node's rack, or zero without a reserve.
func (s *State) rackReserve(n *node) ids.Accelerators {
	if s.config.Policy.RackReserve == 0 {
		return 0
	}
	free := ids.Accelerators(0)
	for _, other := range n.rack.nodes {
		free += other.free().Accelerators
	}
	return free - s.config.Policy.RackReserve
}

func atMost(a, b ids.Resources) ids.Resources {
	return ids.Resources{Accelerators: min(a.Accelerators, b.Accelerators), Cores: min(a.Cores, b.Cores), Memory: min(a.Memory, b.Memory)}
}

func (s *State) matches(j *Job, n *node) bool {
	if selector := s.account(j.Account).Selector; selector != nil && !selector.Matches(n.Labels) {
		return false
	}
	return j.selector.Empty() || j.selector.Matches(n.Labels)
}

// allocate gives a job its place as a borrower.
func (s *State) allocate(j *Job, place []*node, now time.Time) {
	j.Place = nodeIDs(place)
	s.placed[j.ID] = j
	s.room.forget()
	for _, n := range place {
		n.used = n.used.Plus(j.Each)
		n.jobs[j.ID] = j
		if j.isFixed() {
			n.fixed = n.fixed.Plus(j.Each)
		}
	}
	j.phase = allocated
	s.startIfFree(j, now)
}

// release takes a job's place away.
func (s *State) release(j *Job) {
	delete(s.placed, j.ID)
	s.room.forget()
	for i, id := range j.Place {
		n := s.nodes[id]
		if n == nil {
			continue
		}
		n.used = n.used.Minus(j.Each)
		delete(n.jobs, j.ID)
		if j.isFixed() {
			n.fixed = n.fixed.Minus(j.Each)
		}
		if j.entry != nil && j.slots != nil {
			e, slot := j.entry, j.slots[i]
			e.free[slot] = e.free[slot].Plus(j.Each)
			n.owed = n.owed.Minus(j.Each)
		}
	}
	if j.entry != nil {
		j.entry.users--
	}
	j.entry, j.slots, j.Place, j.waitFor = nil, nil, nil, nil
	j.partial = false
	s.grow()
}

// startAllocated starts the jobs whose place has become free.
func (s *State) startAllocated(now time.Time) {
	var waiting []*Job
	for _, j := range s.placed {
		if j.phase == allocated {
			waiting = append(waiting, j)
		}
	}
	sort.Slice(waiting, func(i, k int) bool { return before(waiting[i], waiting[k]) })
	for _, j := range waiting {
		s.startIfFree(j, now)
	}
}

func (s *State) startIfFree(j *Job, now time.Time) {
	if j.phase != allocated {
		return
	}
	for id := range j.waitFor {
		other := s.jobs[id]
		if other == nil || other.phase != stopping {
			delete(j.waitFor, id)
		}
	}
	if len(j.waitFor) > 0 && !s.Policy.NoWait {
		return
	}
	if place := tasksByNode(s.nodesOf(j)); !fits(j, place) && !s.Policy.NoWait {
		s.reclaim(j, place, now)
		return
	}
	j.phase = starting
	j.WasOwed = j.Owed()
	j.Attempt++
	j.Started = now
	j.Reason = ""
	s.actions = append(s.actions, Action{Kind: Start, Job: j, Attempt: j.Attempt})
	s.notice(Notice{Kind: NoticePlaced, Job: j.ID, Account: j.Account, Cause: placedCause(j)})
}

// fits reports whether the job's nodes have room for it beside all that has been started there.
func fits(j *Job, place map[*node]int) bool {
	for n, tasks := range place {
		held := j.Each.Times(tasks)
		for _, other := range n.jobs {
			if other.phase != allocated {
				held = held.Plus(other.Each.Times(other.tasksOn(n.ID)))
			}
		}
		if !n.Total.Fits(held) {
			return false
		}
	}
	return true
}

// nodesOf returns the known nodes of a job's tasks.
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
	if j.entry != nil {
		return "guarantee " + j.entry.guarantee.Name
	}
	return "free accelerators beyond the guarantees"
}
