package poolowner

import (
	"expvar"
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
		counts                       atomic.Pointer[pool.Counts]
	}

	// Latency is a histogram of durations, in microseconds. Its zero value is empty.
	Latency struct {
		mu        sync.Mutex
		histogram *hdrhistogram.Histogram
	}
)

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

// Quantile returns a quantile from 0 to 100.
func (l *Latency) Quantile(q float64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.histogram == nil {
		return 0
	}
	return time.Duration(l.histogram.ValueAtQuantile(q)) * time.Microsecond
}
