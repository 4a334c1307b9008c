package poolowner

import (
	"expvar"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/jujubegrade/jujubegrade/internal/process/pool"
)

type (
	// Metrics are the numbers of an owner. Counters count since the start of the process.
	Metrics struct {
		Claims, Calls, Refused       expvar.Int
		Writes, WritesFailed         expvar.Int
		Renewals, RenewalsFailed     expvar.Int
		Starts, StartsUnknown, Stops expvar.Int
		WriteTime                    Latency
		// CallTime is the time of a call at the instance that took it, by kind and result.
		CallTime Latencies
		// StartTime is the time from a job's submission to its first start, by priority, and EndTime that to its end, by priority
		// and outcome.
		StartTime, EndTime Latencies
		counts             atomic.Pointer[pool.Counts]
	}

	// Latency is a histogram of durations, in microseconds. Its zero value is empty.
	Latency struct {
		mu        sync.Mutex
		histogram *hdrhistogram.Histogram
	}
)

// Latencies are histograms by the labels of a series, such as kind="Submit",result="OK". Its zero value is empty.
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
	h.observe(d)
}

// Labels returns the labels that were observed, in order.
func (l *Latencies) Labels() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Sorted(maps.Keys(l.byLabel))
}

// Of returns the histogram of a label that was observed.
func (l *Latencies) Of(label string) *Latency {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byLabel[label]
}

// observeNotice counts what a decision tells of a job's times.
func (m *Metrics) observeNotice(n pool.Notice) {
	switch {
	case n.First:
		m.StartTime.Observe(fmt.Sprintf("priority=%q", strconv.Itoa(n.Priority)), n.After)
	case n.Outcome != "":
		m.EndTime.Observe(fmt.Sprintf("priority=%q,outcome=%q", strconv.Itoa(n.Priority), n.Outcome), n.After)
	}
}

// Metrics returns the owner's numbers.
func (o *Owner) Metrics() *Metrics { return &o.metrics }

// Counts returns the pool's numbers after the last decision of this instance as owner.
func (m *Metrics) Counts() pool.Counts {
	if c := m.counts.Load(); c != nil {
		return *c
	}
	return pool.Counts{}
}

func (m *Metrics) observe(c pool.Counts) { m.counts.Store(&c) }

func (l *Latency) observe(d time.Duration) {
	const (
		longest = int64(time.Minute / time.Microsecond)
		digits  = 2
	)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.histogram == nil {
		l.histogram = hdrhistogram.New(1, longest, digits)
	}
	// Longer durations count as the longest.
	_ = l.histogram.RecordValue(min(longest, d.Microseconds()))
}

// Count returns the number of durations.
func (l *Latency) Count() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.histogram == nil {
		return 0
	}
	return l.histogram.TotalCount()
}

// Quantile returns a quantile from 0 to 100.
func (l *Latency) Quantile(q float64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.histogram == nil {
		return 0
	}
	return time.Duration(l.histogram.ValueAtQuantile(q)) * time.Microsecond
}
