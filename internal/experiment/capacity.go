package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/internal/process/owner"
	"github.com/jujubegrade/jujubegrade/internal/process/placement"
	"github.com/jujubegrade/jujubegrade/internal/standin/workerservice"
	"github.com/jujubegrade/jujubegrade/internal/version/config"
	"github.com/jujubegrade/jujubegrade/pkg/caller"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// tasksPerWorker is the target load: 49,000 tasks on 2,500 workers.
const tasksPerWorker = 20

// Capacity measures state size, bytes and processor time at several sizes.
func Capacity() ([]Figure, error) {
	var list []Figure
	for _, workers := range []int{10, 50, 190} {
		figures, err := measureRenewals(workers)
		if err != nil {
			return nil, err
		}
		list = append(list, figures...)
	}
	for _, jobs := range []int{100, 1000, 10000} {
		list = append(list, measureOwnerState(jobs))
	}
	for _, tasks := range []int{1, 64, 256} {
		list = append(list, measureRecord(tasks))
	}
	for _, changes := range []int{10, 100, 400} {
		figure, err := measureConfiguration(changes)
		if err != nil {
			return nil, err
		}
		list = append(list, figure)
	}
	return list, nil
}

// measureRenewals compares the cost of a lease renewal with delta reports and with full reports.
func measureRenewals(workers int) ([]Figure, error) {
	var bytes atomic.Int64
	var clients []worker.Client
	for range workers {
		client, stop, err := newCountedWorker(&bytes)
		if err != nil {
			return nil, err
		}
		defer stop()
		clients = append(clients, client)
	}
	lastReports := make([]worker.Report, workers)
	renewAll := func(delta bool) error {
		for i, c := range clients {
			renew := worker.Renew{Epoch: 1, TTL: time.Minute}
			if delta {
				renew.Since, renew.Incarnation = lastReports[i].Sequence, lastReports[i].Incarnation
			}
			report, err := c.Renew(context.Background(), renew)
			if err != nil {
				return err
			}
			lastReports[i] = report
		}
		return nil
	}
	if err := renewAll(false); err != nil {
		return nil, err
	}
	if err := startTasks(clients); err != nil {
		return nil, err
	}
	if err := renewAll(false); err != nil {
		return nil, err
	}
	var figures []Figure
	for name, delta := range map[string]bool{"Delta": true, "Full": false} {
		const rounds = 20
		bytes.Store(0)
		cpu := cpuTime()
		for range rounds {
			if err := renewAll(delta); err != nil {
				return nil, err
			}
		}
		calls := float64(rounds * workers)
		prefix := fmt.Sprintf("Renewal/%s/Workers%d", name, workers)
		figures = append(
			figures,
			Figure{prefix + "/Bytes", float64(bytes.Load()) / calls, "B/renewal"},
			Figure{prefix + "/Processor", float64(cpuTime()-cpu) / calls / 1e3, "us/renewal, both ends"},
		)
	}
	return figures, nil
}

func newCountedWorker(bytes *atomic.Int64) (worker.Client, func(), error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return worker.Client{}, nil, err
	}
	service := &workerservice.Service{Total: ids.Resources{Accelerators: tasksPerWorker}}
	server := &fasthttp.Server{Handler: service.Handler(), NoDefaultServerHeader: true}
	go func() { _ = server.Serve(countedListener{listener, bytes}) }() // ends with the listener
	return worker.Dial(listener.Addr().String(), 5*time.Second), func() { _ = listener.Close() }, nil
}

// startTasks starts tasksPerWorker tasks on each worker.
func startTasks(clients []worker.Client) error {
	payload, err := json.Marshal(workerservice.Payload{RunTime: time.Hour})
	if err != nil {
		return err
	}
	for i, c := range clients {
		for k := range tasksPerWorker {
			id := ids.JobIDFor("capacity", fmt.Sprint(i, "-", k))
			each := ids.Resources{Accelerators: 1}
			if err := c.Hold(context.Background(), worker.Hold{Epoch: 1, Job: id, Attempt: 1, Tasks: []int{0}, Each: each, TTL: time.Minute}); err != nil {
				return err
			}
			if err := c.Start(context.Background(), worker.Start{Epoch: 1, Job: id, Attempt: 1, Payload: payload}); err != nil {
				return err
			}
		}
	}
	return nil
}

type (
	countedListener struct {
		net.Listener
		bytes *atomic.Int64
	}

	countedConn struct {
		net.Conn
		bytes *atomic.Int64
	}
)

// Accept accepts a connection and counts its bytes.
func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{conn, l.bytes}, nil
}

// Read counts the bytes that it reads.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write counts the bytes that it writes.
func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// cpuTime returns the processor time of this process.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// measureOwnerState measures the heap size of an owner's state per queued job.
func measureOwnerState(jobs int) Figure {
	before := heapBytes()
	state := &placement.State{DataCentre: "target"}
	s := TargetSize(false)
	state.SetNodes(s.Nodes)
	for i := range jobs {
		job := caller.Job{Key: fmt.Sprint(i), Shape: ids.Shape{Tasks: 30, Each: ids.Resources{Cores: 1000}}, Kind: fmt.Sprint(i % 20), Idempotent: true, RunTime: time.Hour}
		state.Restore(&placement.Job{Job: job, ID: ids.JobIDFor("capacity", job.Key), Account: "capacity", Submitted: simulationStart})
	}
	figure := Figure{fmt.Sprintf("OwnerState/Jobs%d", jobs), float64(heapBytes()-before) / float64(jobs), "B/job, with 190 workers"}
	runtime.KeepAlive(state)
	return figure
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// measureRecord measures the encoded size of a job's record in the store.
func measureRecord(tasks int) Figure {
	r := owner.Record{
		Format: owner.RecordFormat, ID: ids.JobIDFor("capacity", "1"), Account: "team-001", DataCentre: "attica-1", State: caller.Starting, Attempt: 1,
		Job:       caller.Job{Key: "2026-12-03-easter-price-sheets", Shape: ids.Shape{Tasks: tasks, Each: ids.Resources{Accelerators: 1, Cores: 4000, Memory: 16000}}, Kind: "price-sheet", RunTime: time.Hour},
		Submitted: simulationStart, Started: simulationStart, Writer: "entry-1/12/345", Epoch: 12, Guarantee: "sheets-1",
	}
	for i := range tasks {
		r.Place = append(r.Place, ids.InstanceID(fmt.Sprintf("attica-1-worker-%03d", i)))
	}
	r.Shape = r.Place
	body, err := json.Marshal(r)
	if err != nil {
		return Figure{Name: "Record", Unit: err.Error()}
	}
	return Figure{fmt.Sprintf("Record/Tasks%d", tasks), float64(len(body)), "B"}
}

// measureConfiguration measures the processor time that an instance spends on parsing a new configuration.
func measureConfiguration(accounts int) (Figure, error) {
	text := "[DataCentre \"d\"]\n"
	for i := range accounts {
		text += fmt.Sprintf("[ClientAccount \"team-%03d\"]\nSelector = pool in (a, b)\nWeight = 2\n[Guarantee \"g-%03d\"]\nAccount = team-%03d\nDataCentre = d\nShape = 1x4\n", i, i, i)
	}
	const rounds = 20
	began := cpuTime()
	for range rounds {
		if _, err := config.Parse("capacity", []byte(text)); err != nil {
			return Figure{}, err
		}
	}
	took := (cpuTime() - began) / rounds
	return Figure{fmt.Sprintf("Configuration/Accounts%d/Bytes%d", accounts, len(text)), float64(took) / 1e6, "ms/change"}, nil
}
