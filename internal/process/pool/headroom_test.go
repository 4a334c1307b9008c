package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// urgentAmongBulk submits single bulk tasks that would fill the pool, and urgent gangs at an interval, over half a minute. It returns the urgent jobs with
// their objectives.
func urgentAmongBulk(s *sim, interval time.Duration) (urgent, bulk []*Job) {
	const length = 30 * time.Second
	for at := time.Duration(0); at < length; at += 400 * time.Millisecond {
		j := gangJob(fmt.Sprintf("bulk%05d", at.Milliseconds()), 2, 24, 1, 8*time.Second)
		j.Steps[0].Gang, j.Steps[0].SameRack, j.Stretch = false, false, 10
		bulk = append(bulk, j)
		s.at(at, func() { s.submitOnce(j, time.Duration(6+s.random.IntN(4))*time.Second) })
	}
	for at := 2 * time.Second; at < length; at += interval {
		o := urgentSubmission(s.random, fmt.Sprintf("urgent%05d", at.Milliseconds()), at)
		o.job.Steps[0].Tasks *= 2
		urgent = append(urgent, o.job)
		s.at(at, func() { s.submitOnce(o.job, o.runTime) })
	}
	s.playFor(2 * length)
	return urgent, bulk
}

// Urgent gangs of seconds that arrive all the time at a pool that bulk tasks fill: all but one in twenty end within their objective, half their work beyond it.
func TestPatternUrgentAmongShortBulk(t *testing.T) {
	late, urgentCount := 0, 0
	for seed := range uint64(5) {
		s := newSim(48, 8, seed)
		s.slowdown = func(worker int) float64 { return []float64{0.8, 1, 1.25}[worker%3] }
		s.Times.Stop, s.stopTime = 900*time.Millisecond, 800*time.Millisecond
		urgent, _ := urgentAmongBulk(s, 200*time.Millisecond)
		for _, j := range urgent {
			urgentCount++
			if end := s.finishedAt[j.ID]; end.IsZero() || end.Sub(j.Submitted) > time.Duration(1.5*float64(s.runTimes[j.ID]))+j.Target {
				late++
			}
		}
	}
	t.Logf("%d of %d urgent jobs are late", late, urgentCount)
	require.LessOrEqual(t, late, urgentCount/20)
}

// What bulk tasks may start beside urgent demand that was requested a second ago, by how much of a pool of 64 accelerators is in use.
func TestHeadroom(t *testing.T) {
	for name, test := range map[string]struct {
		// urgent is the number of accelerators that urgent jobs requested, and after how long ago.
		urgent, used int
		after        time.Duration
		priority     int
		starts       bool
	}{
		"no urgent jobs":                      {used: 56, priority: 2, starts: true},
		"demand covered by what is free":      {urgent: 8, used: 48, after: time.Second, priority: 2, starts: true},
		"demand above what is free":           {urgent: 32, used: 56, after: time.Second, priority: 2},
		"the same demand, urgent unit":        {urgent: 32, used: 56, after: time.Second, starts: true},
		"the same demand, long ago":           {urgent: 32, used: 56, after: 20 * time.Second, priority: 2, starts: true},
		"demand above all, half of it in use": {urgent: 6400, used: 32, after: time.Second, priority: 2, starts: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := testState(8, 8)
			for i := range test.used / 8 {
				n := s.wholePool.nodes[i]
				n.used = n.Total
				s.capacityChanged(n)
			}
			if test.urgent > 0 {
				j := gangJob("urgent", 0, test.urgent/8, 8, time.Second)
				j.Submitted = testStart
				s.observeUrgent(j)
			}
			j := gangJob("a", test.priority, 1, 1, time.Second)
			j.openOne()
			require.Equal(t, test.starts, s.leavesHeadroom(j.units[0], testStart.Add(test.after)))
		})
	}
}
