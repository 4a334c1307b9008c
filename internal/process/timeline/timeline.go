// Package timeline keeps the latest events of one process, with their causes.
package timeline

import (
	"sort"
	"sync"
	"time"

	"github.com/jujubegrade/jujubegrade/pkg/operator"
)

// Log is a ring of events; a full ring drops the oldest and counts them. Size must be set.
type Log struct {
	// Size is the most events kept.
	Size int
	// Instance is written into each event.
	Instance string
	// Mirror is told of each event; nil tells nobody.
	Mirror func(e operator.Event)

	mu       sync.Mutex
	ring     []operator.Event
	next     int
	sequence uint64
	dropped  uint64
}

// Add appends an event; its time, instance and sequence are filled in.
func (l *Log) Add(e operator.Event) {
	l.mu.Lock()
	l.sequence++
	e.Sequence = l.sequence
	e.Instance = l.Instance
	e.Time = time.Now()
	if len(l.ring) < l.Size {
		l.ring = append(l.ring, e)
	} else {
		l.ring[l.next] = e
		l.next = (l.next + 1) % l.Size
		l.dropped++
	}
	mirror := l.Mirror
	l.mu.Unlock()
	if mirror != nil {
		mirror(e)
	}
}

// Events returns the events that match, in order, and how many were dropped.
func (l *Log) Events(f operator.Filter) operator.Timeline {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := operator.Timeline{Dropped: l.dropped}
	for i := range l.ring {
		e := l.ring[(l.next+i)%len(l.ring)]
		if f.Matches(e) {
			t.Events = append(t.Events, e)
		}
	}
	return t
}

// Merge puts the time lines of several processes into one, ordered by time.
func Merge(all ...operator.Timeline) operator.Timeline {
	var merged operator.Timeline
	for _, t := range all {
		merged.Events = append(merged.Events, t.Events...)
		merged.Dropped += t.Dropped
	}
	sort.SliceStable(merged.Events, func(i, j int) bool {
		a, b := merged.Events[i], merged.Events[j]
		if !a.Time.Equal(b.Time) {
			return a.Time.Before(b.Time)
		}
		return a.Instance < b.Instance
	})
	return merged
}
