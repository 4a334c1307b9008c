// Package timeline stores the most recent events of one process, with their causes.
package timeline

import (
	"sort"
	"sync"
	"time"

	"github.com/jujubegrade/jujubegrade/pkg/operator"
)

// Log is a ring buffer of events; when it is full, it drops the oldest event and counts it. Size must be set.
type Log struct {
	// Size is the maximum number of events kept.
	Size int
	// Instance is recorded in each event.
	Instance string
	// OnEvent, if not nil, is called with each event.
	OnEvent func(e operator.Event)

	mu       sync.Mutex
	ring     []operator.Event
	next     int
	sequence uint64
	dropped  uint64
}

// Add appends an event and sets its time, instance and sequence.
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
	onEvent := l.OnEvent
	l.mu.Unlock()
	if onEvent != nil {
		onEvent(e)
	}
}

// Events returns the events that match the filter, in order, and the number of dropped events.
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

// Merge combines the timelines of several processes into one, ordered by time.
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
