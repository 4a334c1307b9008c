package placement

import (
	"sort"
	"time"

	"k8s.io/apimachinery/pkg/labels"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// Node describes a worker according to the instance list and the operators.
	Node struct {
		ID     ids.InstanceID
		Rack   ids.RackID
		Labels labels.Set
		Total  ids.Resources
		// Leaving nodes are draining: they accept no new work.
		Leaving bool
	}

	node struct {
		Node
		rack *rack
		// down nodes are considered lost.
		down bool
		// evacuated nodes are in a data centre that is being evacuated.
		evacuated bool
		// used is the sum held by jobs, including those being stopped and those that wait for other jobs to stop.
		used ids.Resources
		// reserved is the sum of the guaranteed shapes placed here.
		reserved ids.Resources
		// guaranteedUsed is the sum held by jobs under guarantees; it is part of reserved.
		guaranteedUsed ids.Resources
		// nonPreemptible is the sum held by non-preemptible borrowers.
		nonPreemptible ids.Resources
		jobs           map[ids.JobID]*Job

		// failedJobs holds the jobs that failed here and on no other node.
		failedJobs       map[ids.JobID]bool
		quarantinedUntil time.Time
		// probation nodes are quarantined again after one more failure.
		probation bool
	}

	rack struct {
		id    ids.RackID
		nodes []*node
	}
)

// SetNodes adds and updates workers. Workers missing from the list stay until RemoveNode removes them.
func (s *State) SetNodes(list []Node) {
	s.init()
	changed := false
	for _, n := range list {
		known := s.nodes[n.ID]
		if known == nil {
			s.nodes[n.ID] = &node{Node: n, evacuated: s.evacuated, jobs: make(map[ids.JobID]*Job)}
			changed = true
			continue
		}
		if known.Total != n.Total || known.Leaving != n.Leaving || known.Rack != n.Rack || !labels.Equals(known.Labels, n.Labels) {
			leaves := n.Leaving && !known.Leaving
			known.Node = n
			changed = true
			if leaves {
				s.requeueAllocated(known, "instance "+string(n.ID)+" is leaving")
			}
		}
	}
	if changed {
		s.rebuildRacks()
		s.rebuildEntitlements()
		s.capacityGrew()
	}
}

// requeueAllocated requeues the jobs that have not started on a node that leaves.
func (s *State) requeueAllocated(n *node, reason string) {
	for _, j := range sortedJobs(n.jobs) {
		if j.phase == allocated {
			s.release(j)
			s.requeue(j, reason)
		}
	}
}

// RemoveNode removes a worker that is no longer listed. It does nothing while jobs are assigned to the worker.
func (s *State) RemoveNode(id ids.InstanceID) {
	n := s.nodes[id]
	if n == nil || len(n.jobs) > 0 {
		return
	}
	delete(s.nodes, id)
	s.rebuildRacks()
	s.rebuildEntitlements()
}

func (s *State) rebuildRacks() {
	byID := make(map[ids.RackID]*rack)
	s.racks = nil
	for _, n := range s.sortedNodes() {
		r := byID[n.Rack]
		if r == nil {
			r = &rack{id: n.Rack}
			byID[n.Rack] = r
			s.racks = append(s.racks, r)
		}
		n.rack = r
		r.nodes = append(r.nodes, n)
	}
}

func (s *State) sortedNodes() []*node {
	all := make([]*node, 0, len(s.nodes))
	for _, n := range s.nodes {
		all = append(all, n)
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].Rack != all[j].Rack {
			return all[i].Rack < all[j].Rack
		}
		return all[i].ID < all[j].ID
	})
	return all
}

// NodeDown marks a worker as lost: its tasks no longer run, or will have stopped when its lease expires.
func (s *State) NodeDown(id ids.InstanceID, now time.Time, cause string) {
	n := s.nodes[id]
	if n == nil || n.down {
		return
	}
	n.down = true
	s.notice(Notice{Kind: NoticeLost, Instance: id, Cause: cause})
	s.recordLoss(n, sortedJobs(n.jobs), now)
	for _, j := range sortedJobs(n.jobs) {
		s.interruptGang(j, now, "instance "+string(id)+" was lost")
	}
	s.repairEntitlements()
}

// NodeUp marks a lost worker as live again.
func (s *State) NodeUp(id ids.InstanceID) {
	n := s.nodes[id]
	if n == nil || !n.down {
		return
	}
	n.down = false
	s.repairEntitlements()
	s.capacityGrew()
}

// IsLive reports whether a worker is known and not lost.
func (s *State) IsLive(id ids.InstanceID) bool {
	n := s.nodes[id]
	return n != nil && !n.down
}

// HasJobs reports whether jobs are assigned to a worker.
func (s *State) HasJobs(id ids.InstanceID) bool {
	n := s.nodes[id]
	return n != nil && len(n.jobs) > 0
}

// isSchedulable reports whether new work may be placed on the node.
func (n *node) isSchedulable() bool {
	return !n.down && !n.leaves() && !n.quarantined()
}

// leaves reports whether the node accepts no new work because it is draining or its data centre is being evacuated.
func (n *node) leaves() bool {
	return n.Leaving || n.evacuated
}

func (n *node) quarantined() bool {
	return !n.quarantinedUntil.IsZero()
}

func (n *node) free() ids.Resources {
	return n.Total.Minus(n.used)
}

// free returns the free accelerators of a rack's live nodes. Those of an evacuated data centre don't count.
func (r *rack) free() ids.Accelerators {
	sum := ids.Accelerators(0)
	for _, n := range r.nodes {
		if !n.down && !n.evacuated {
			sum += n.free().Accelerators
		}
	}
	return sum
}

// total returns the accelerators of a rack's nodes, including lost ones.
func (r *rack) total() ids.Accelerators {
	sum := ids.Accelerators(0)
	for _, n := range r.nodes {
		sum += n.Total.Accelerators
	}
	return sum
}

// taskCapacity returns how many tasks with the given accelerators each fit on the free accelerators of a rack's live
// nodes. Those of an evacuated data centre don't count.
func (r *rack) taskCapacity(each ids.Accelerators) int {
	count := 0
	for _, n := range r.nodes {
		if !n.down && !n.evacuated {
			count += int(n.free().Accelerators / max(1, each))
		}
	}
	return count
}

// uncommitted returns what is left for further guaranteed shapes and non-preemptible borrowers.
func (n *node) uncommitted() ids.Resources {
	return n.Total.Minus(n.reserved).Minus(n.nonPreemptible)
}

func sortedJobs(jobs map[ids.JobID]*Job) []*Job {
	all := make([]*Job, 0, len(jobs))
	for _, j := range jobs {
		all = append(all, j)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
	return all
}

// VisitTasksRunningOn calls visit for each unfinished task on a worker whose job started running before a time.
func (s *State) VisitTasksRunningOn(id ids.InstanceID, before time.Time, visit func(job ids.JobID, attempt ids.Attempt, index int)) {
	n := s.nodes[id]
	if n == nil {
		return
	}
	for _, j := range sortedJobs(n.jobs) {
		if j.phase != running || !j.Started.Before(before) {
			continue
		}
		for i, place := range j.Place {
			if place == id && !j.endedTasks[i] {
				visit(j.ID, j.Attempt, i)
			}
		}
	}
}
