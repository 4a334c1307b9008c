package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// gangTimeout is how long a member of a gang waits for the others: gangMs of the sheet.
const gangTimeout = 3 * time.Second

type (
	// gangTable makes the members of a gang begin to work and end together, on whichever workers they are.
	gangTable struct {
		mu sync.Mutex
		// sizes holds the number of tasks of each step that is a gang.
		sizes map[string]int
		gangs map[string]*simGang
	}

	// simGang is one run of a gang.
	simGang struct {
		members []gangMember
		over    bool
	}

	gangMember struct {
		worker *simWorker
		run    *taskRun
	}
)

func newGangTable() *gangTable {
	return &gangTable{sizes: make(map[string]int), gangs: make(map[string]*simGang)}
}

// stepOf returns the name of a task's step.
func stepOf(task string) string { return task[:strings.LastIndexByte(task, '.')] }

func (r *taskRun) gangKey() string { return fmt.Sprintf("%s/%d", stepOf(r.task), r.number) }

// size returns the number of tasks of a task's gang; zero if it is in none.
func (g *gangTable) size(task string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sizes[stepOf(task)]
}

// setSize makes a step a gang.
func (g *gangTable) setSize(step string, size int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sizes[step] = size
}

// join adds a run to its gang. The work begins with the last member.
func (g *gangTable) join(m gangMember) {
	size := g.size(m.run.task)
	g.mu.Lock()
	gang := g.gangs[m.run.gangKey()]
	if gang == nil {
		gang = &simGang{}
		g.gangs[m.run.gangKey()] = gang
	}
	gang.members = append(gang.members, m)
	over, members := gang.over, append([]gangMember(nil), gang.members...)
	g.mu.Unlock()
	if over {
		m.end("broken")
		return
	}
	if len(members) < size {
		return
	}
	for _, other := range members {
		other.worker.mu.Lock()
		other.run.timer.Stop()
		other.worker.mu.Unlock()
	}
	time.AfterFunc(m.run.length, func() {
		if g.finish(m.run) {
			for _, other := range members {
				other.end("done")
			}
		}
	})
}

// finish marks the gang of a run as over, and reports whether it was not over before.
func (g *gangTable) finish(r *taskRun) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	gang := g.gangs[r.gangKey()]
	if gang == nil || gang.over {
		return false
	}
	gang.over = true
	return true
}

// ended ends the other members of a gang after one run of it has ended other than done.
func (g *gangTable) ended(r *taskRun) {
	if g.size(r.task) == 0 || !g.finish(r) {
		return
	}
	g.mu.Lock()
	members := append([]gangMember(nil), g.gangs[r.gangKey()].members...)
	g.mu.Unlock()
	for _, m := range members {
		if m.run != r {
			m.end("broken")
		}
	}
}

func (m gangMember) end(how string) {
	m.worker.mu.Lock()
	defer m.worker.mu.Unlock()
	m.worker.end(m.run, how)
}
