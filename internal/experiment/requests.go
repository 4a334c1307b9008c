package experiment

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"

	"github.com/jujubegrade/jujubegrade/internal/connection/runner"
	"github.com/jujubegrade/jujubegrade/internal/request/service"
	"github.com/jujubegrade/jujubegrade/internal/standin/runnerservice"
	"github.com/jujubegrade/jujubegrade/internal/version/config"
	"github.com/jujubegrade/jujubegrade/pkg/caller"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// RequestLoad is an open-loop load on one service with runners on loopback, in real time.
	RequestLoad struct {
		Name string
		// Factor is the load as a multiple of the runners' capacity.
		Factor float64
		// BadRunners is the share of runners that refuse all requests.
		BadRunners float64
		// SilentConnections makes half of the runners stop answering on their open connections.
		SilentConnections bool
	}

	requestRun struct {
		load     RequestLoad
		service  service.Service
		runners  []*runnerservice.Service
		servers  []net.Listener
		accounts [2]*config.Account
		answered [2]atomic.Int64
		offered  [2]atomic.Int64
		refused  atomic.Int64
		unknown  atomic.Int64
		mu       sync.Mutex
		latency  *hdrhistogram.Histogram
	}
)

const (
	runnerCount        = 10
	slotsPerRunner     = 4
	requestServiceTime = 20 * time.Millisecond
	requestDeadline    = 250 * time.Millisecond
	loadDuration       = 2 * time.Second
)

// RequestLoads are the measured loads.
var RequestLoads = []RequestLoad{
	{Name: "Load0.8", Factor: 0.8},
	{Name: "Load1", Factor: 1},
	{Name: "Load1.5", Factor: 1.5},
	{Name: "Load3", Factor: 3},
	{Name: "Load0.8BadRunners", Factor: 0.8, BadRunners: 0.1},
	{Name: "Load0.8SilentConnections", Factor: 0.8, SilentConnections: true},
}

// RunRequests generates a load and returns its figures.
func RunRequests(load RequestLoad) ([]Figure, error) {
	r := &requestRun{load: load, latency: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
	for i := range r.accounts {
		r.accounts[i] = &config.Account{ID: ids.AccountID(fmt.Sprint(i)), RequestShare: 0.5, QueuedRequests: 200}
	}
	if err := r.start(); err != nil {
		return nil, err
	}
	defer r.stop()
	r.warmUp()
	r.injectFaults()
	before := r.service.Counters.Requests.Load()
	attempts := r.service.Counters.Attempts.Load()
	r.offerLoad()
	sent := r.service.Counters.Requests.Load() - before - r.refused.Load()
	return r.figures(sent, r.service.Counters.Attempts.Load()-attempts), nil
}

func (r *requestRun) start() error {
	var list []*runner.Runner
	for i := range runnerCount {
		s := &runnerservice.Service{Slots: slotsPerRunner, Work: requestServiceTime}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		server := &fasthttp.Server{Handler: s.Handler(), NoDefaultServerHeader: true}
		go func() { _ = server.Serve(listener) }() // ends with the listener
		r.runners = append(r.runners, s)
		r.servers = append(r.servers, listener)
		list = append(list, &runner.Runner{ID: ids.InstanceID(fmt.Sprint(i)), Address: listener.Addr().String(), Slots: slotsPerRunner})
	}
	r.service.SetRunners(list, 1)
	return nil
}

func (r *requestRun) stop() {
	for _, l := range r.servers {
		_ = l.Close() // the measurement has ended
	}
	r.service.SetRunners(nil, 1)
}

// warmUp opens connections to all runners.
func (r *requestRun) warmUp() {
	var wait sync.WaitGroup
	for range 4 * runnerCount * slotsPerRunner {
		wait.Go(func() { r.send(0, time.Now().Add(5*time.Second)) })
	}
	wait.Wait()
	r.answered[0].Store(0)
	r.refused.Store(0)
	r.latency.Reset()
}

func (r *requestRun) injectFaults() {
	for i := range int(r.load.BadRunners * runnerCount) {
		r.runners[i].SetFaults(runnerservice.Faults{Refuse: true})
	}
	if r.load.SilentConnections {
		for _, s := range r.runners[:runnerCount/2] {
			s.SetFaults(runnerservice.Faults{Silent: true})
		}
	}
}

// offerLoad sends requests at a fixed rate, regardless of responses. The first account sends four times as many requests
// as the second.
func (r *requestRun) offerLoad() {
	rate := r.load.Factor * runnerCount * slotsPerRunner / requestServiceTime.Seconds()
	const step = time.Millisecond
	var wait sync.WaitGroup
	started := time.Now()
	sent := 0.0
	for i := 0; time.Since(started) < loadDuration; {
		for due := rate * time.Since(started).Seconds(); sent < due; sent++ {
			account := 0
			if i%5 == 0 {
				account = 1
			}
			i++
			r.offered[account].Add(1)
			wait.Go(func() { r.send(account, time.Now().Add(requestDeadline)) })
		}
		time.Sleep(step)
	}
	wait.Wait()
}

func (r *requestRun) send(account int, deadline time.Time) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("/")
	req.SetHost("runner")
	began := time.Now()
	result := r.service.Serve(&service.Request{
		ID: service.NewRequestID(), Account: r.accounts[account], Idempotent: true, Deadline: deadline,
		Policy: &config.Policy{RetryBudget: 0.1}, Settings: config.Service{AttemptTimeout: 80 * time.Millisecond, MaxBody: 1 << 20}, HTTP: req,
	}, resp)
	switch result.Outcome {
	case caller.Answered:
		r.answered[account].Add(1)
		r.mu.Lock()
		_ = r.latency.RecordValue(time.Since(began).Microseconds()) // every deadline is within the histogram's range
		r.mu.Unlock()
	case caller.NotRun:
		r.refused.Add(1)
	default:
		r.unknown.Add(1)
	}
}

func (r *requestRun) figures(sent, attempts int64) []Figure {
	answered := r.answered[0].Load() + r.answered[1].Load()
	share := func(i int) float64 {
		return float64(r.answered[i].Load()) / float64(max(1, r.offered[i].Load()))
	}
	return []Figure{
		{"Goodput", float64(answered) / loadDuration.Seconds(), "1/s"},
		{"LatencyP50", float64(r.latency.ValueAtQuantile(50)) / 1e3, "ms"},
		{"LatencyP99", float64(r.latency.ValueAtQuantile(99)) / 1e3, "ms"},
		{"Refused", float64(r.refused.Load()) / loadDuration.Seconds(), "1/s"},
		{"Unknown", float64(r.unknown.Load()) / loadDuration.Seconds(), "1/s"},
		{"AnsweredShareHeavyAccount", share(0), "ratio"},
		{"AnsweredShareLightAccount", share(1), "ratio"},
		{"RetryAmplification", float64(attempts) / float64(max(1, sent)), "ratio"},
	}
}
