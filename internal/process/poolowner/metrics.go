package poolowner

import (
	"expvar"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/jujubegrade/jujubegrade/internal/process/pool"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// Metrics are the metrics of an owner. Counters count from the start of the process.
	Metrics struct {
		Claims, Calls, Refused expvar.Int
		// CallsExpired counts the calls that came too late to be carried out, and CallsSuperseded those that came after a later answer about their jobs.
		CallsExpired, CallsSuperseded expvar.Int
		// Panics counts the panics that ended a term.
		Panics                   expvar.Int
		Writes, WritesFailed     expvar.Int
		Renewals, RenewalsFailed expvar.Int
		// RecordsRejected counts the jobs that ended since their records can't be stored.
		RecordsRejected              expvar.Int
		Starts, StartsUnknown, Stops expvar.Int
		// TokensRaised counts the new processes of workers that got a higher fencing token, and CallsOutdated the calls to earlier ones that they refused.
		TokensRaised, CallsOutdated expvar.Int
		// WorkerCrashes counts the workers whose processes ended unannounced, and RunsCrashed the runs that were lost with them.
		WorkerCrashes, RunsCrashed expvar.Int
		// LostRunsFound counts the runs that were found active after this owner had counted them as ended.
		LostRunsFound expvar.Int
		// GivenUp counts the jobs that were given up since workers crashed under one of their tasks.
		GivenUp expvar.Int
		// WatchesUnanswered counts the watches without an answer, and WatchesFailed those that failed otherwise.
		WatchesUnanswered, WatchesFailed expvar.Int
		WriteTime                        Latency
		// WitnessCalls counts the calls that told witnesses of starts whose places the store did not hold in time, and WitnessCallsFailed those without a majority.
		WitnessCalls, WitnessCallsFailed expvar.Int
		// StartHolds counts how often starts were held since the list of workers was outdated.
		StartHolds expvar.Int
		// EvacuationHolds counts how often starts were held since the view of the evacuations was outdated.
		EvacuationHolds expvar.Int
		// StartListAge is the age of the instance list at each placement.
		StartListAge Latency
		// EventDelay is the time that events wait until the owner handles them.
		EventDelay Latency
		// CallTime is the latency of a call at the instance that received it, by kind and result.
		CallTime Latencies
		// StartTime is the time from a job's submission to its first start, by priority, and EndTime that to its end, by
		// priority and outcome.
		StartTime, EndTime Latencies
		// ExpectedWait and ActualWait are the times to the first start of admitted jobs, as expected at the admission and as they
		// were, by queue and priority. ForecastError is the difference, split into jobs that started earlier and later than expected.
		ExpectedWait, ActualWait, ForecastError Latencies
		// WorkerWait is the time for which the runs of workers that did not answer were kept, by what ended it: the process was known to have ended,
		// or the lease expired.
		WorkerWait Latencies
		counts     atomic.Pointer[pool.Counts]
		runsLeft   atomic.Pointer[map[ids.DataCentreID]int]
	}

	// Latency is a histogram of durations, in microseconds. The zero value is empty.
	Latency struct {
		mu        sync.Mutex
		histogram *hdrhistogram.Histogram
	}
)

// Latencies are histograms by the labels of a series, such as kind="Submit",result="OK". The zero value is empty.
type Latencies struct {
	mu      sync.Mutex
	byLabel map[string]*Latency
}

// Observe adds a duration to the series of a label. Labels must come from a small set.
func (l *Latencies) Observe(label string, d time.Duration) {
	l.mu.Lock()
	h := l.byLabel[label]
	if h == nil {
		if l.byLabel == nil {
			l.byLabel = make(map[string]*Latency)
		}
		h = &Latency{}
		l.byLabel[label] = h
	}
	l.mu.Unlock()
	h.record(d)
}

// Labels returns the observed labels, sorted.
func (l *Latencies) Labels() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Sorted(maps.Keys(l.byLabel))
}

// With returns the histogram of an observed label.
func (l *Latencies) With(label string) *Latency {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byLabel[label]
}

// observeNotice records the time to a job's first start or to its end from a scheduling notice.
func (m *Metrics) observeNotice(n pool.Notice) {
	if n.Forecast != nil {
		m.observeForecast(n.Queue, n.Priority, *n.Forecast, n.After)
	}
	if n.Kind == "WorkerCrashed" {
		m.WorkerCrashes.Add(1)
		m.RunsCrashed.Add(int64(len(n.Crashed)))
	}
	if n.Kind == "WorkerEnded" || n.Kind == "WorkerLapsed" {
		m.WorkerWait.Observe(fmt.Sprintf("end=%q", strings.TrimPrefix(n.Kind, "Worker")), n.After)
	}
	if n.OwnRun {
		m.LostRunsFound.Add(1)
	}
	if n.Kind == "GivenUp" {
		m.GivenUp.Add(1)
	}
	switch {
	case n.First:
		m.StartTime.Observe(fmt.Sprintf("priority=%q", strconv.Itoa(n.Priority)), n.After)
	case n.Outcome != "":
		m.EndTime.Observe(fmt.Sprintf("priority=%q,outcome=%q", strconv.Itoa(n.Priority), n.Outcome), n.After)
	}
}

// observeForecast compares the expected wait of an admitted job with its actual wait.
func (m *Metrics) observeForecast(queue ids.QueueID, priority int, expected, actual time.Duration) {
	label := fmt.Sprintf("queue=%q,priority=%q", queue, strconv.Itoa(priority))
	m.ExpectedWait.Observe(label, expected)
	m.ActualWait.Observe(label, actual)
	started, difference := "Later", actual-expected
	if difference < 0 {
		started, difference = "Earlier", -difference
	}
	m.ForecastError.Observe(label+fmt.Sprintf(",started=%q", started), difference)
}

// Metrics returns the owner's metrics.
func (o *Owner) Metrics() *Metrics { return &o.metrics }

// Counts returns the pool's counts as of the last tick of this instance as owner.
func (m *Metrics) Counts() pool.Counts {
	if c := m.counts.Load(); c != nil {
		return *c
	}
	return pool.Counts{}
}

// ListAge returns the age of the owner's instance list; zero if this instance doesn't own the pool.
func (o *Owner) ListAge() time.Duration {
	if t := o.term.Load(); t != nil {
		return t.listAge()
	}
	return 0
}

// EvacuationAge returns the age of the owner's view of the evacuations; zero if this instance doesn't own the pool.
func (o *Owner) EvacuationAge() time.Duration {
	if t := o.term.Load(); t != nil {
		return t.evacuationAge()
	}
	return 0
}

// RunsLeft returns the number of runs in each evacuated data centre as of the last tick of this instance as owner.
func (m *Metrics) RunsLeft() map[ids.DataCentreID]int {
	if left := m.runsLeft.Load(); left != nil {
		return *left
	}
	return nil
}

func (m *Metrics) setRunsLeft(left map[ids.DataCentreID]int) { m.runsLeft.Store(&left) }

func (m *Metrics) setCounts(c pool.Counts) { m.counts.Store(&c) }

func (l *Latency) record(d time.Duration) {
	const (
		maxMicroseconds   = int64(time.Minute / time.Microsecond)
		significantDigits = 2
	)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.histogram == nil {
		l.histogram = hdrhistogram.New(1, maxMicroseconds, significantDigits)
	}
	// Longer durations count as the longest.
	_ = l.histogram.RecordValue(min(maxMicroseconds, d.Microseconds()))
}

// Count returns the number of durations observed.
func (l *Latency) Count() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.histogram == nil {
		return 0
	}
	return l.histogram.TotalCount()
}

// Quantile returns the percentile q, from 0 to 100.
func (l *Latency) Quantile(q float64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.histogram == nil {
		return 0
	}
	return time.Duration(l.histogram.ValueAtQuantile(q)) * time.Microsecond
}
