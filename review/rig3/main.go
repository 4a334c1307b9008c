// Rig3 starts instances of the product as separate processes on loopback, with stand-ins of the platform's store and runners, and plays one case of the review.
// It exits with 1 if the case's rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/jujubegrade/jujubegrade/internal/standin/storeservice"
)

type (
	rig struct {
		program, dir string
		trouble      bool
		store        storeservice.Transactional
		began        time.Time

		mu        sync.Mutex
		log       *os.File
		over      bool
		instances []*instance
		runners   []*runner
		// onStart is called for each start of a task, with the runner's lock held.
		onStart func(w *runner, task string)
		ends    map[string]int
		// otherKind is the number of the only runner of kind b; zero if all are of kind a.
		otherKind int
		client    http.Client
	}

	// instance is one instance of the product. The platform restarts its process when it ends.
	instance struct {
		rig                 *rig
		name                string
		frontend, readiness string
		settings            string

		mu    sync.Mutex
		cmd   *exec.Cmd
		exits int
	}
)

const (
	exitHeld, exitBroken, exitUnable = 0, 1, 2

	// maxTime ends a case that hangs.
	maxTime = 116 * time.Second

	// restartDelay is the time after which the platform starts a process again that has ended.
	restartDelay = 2 * time.Second

	apiKey = "key-1"
	host   = "jobs.example"
)

func main() {
	scenario := flag.String("case", "", "name of the case")
	program := flag.String("program", "target/jujubegrade", "the product's program")
	dir := flag.String("dir", "", "folder for record.txt")
	flag.Parse()
	play := cases[*scenario]
	if play == nil {
		fmt.Fprintln(os.Stderr, "rig3: no such case")
		os.Exit(exitUnable)
	}
	log, err := os.Create(filepath.Join(*dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig3:", err)
		os.Exit(exitUnable)
	}
	r := &rig{program: *program, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), log: log, ends: make(map[string]int)}
	if r.dir, err = os.MkdirTemp("", "rig3"); err != nil {
		fmt.Fprintln(os.Stderr, "rig3:", err)
		os.Exit(exitUnable)
	}
	played := make(chan int, 1)
	go func() { played <- play(r) }()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	code := exitUnable
	select {
	case code = <-played:
	case s := <-stopped:
		r.record("stopped by %v", s)
	case <-time.After(maxTime):
		r.record("the case did not end within %v", maxTime)
	}
	r.close()
	r.record("exit %d", code)
	_ = os.RemoveAll(r.dir) // a leftover folder does no harm
	os.Exit(code)
}

// record writes a line of the record.
func (r *rig) record(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%9.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.log.WriteString(line)
	fmt.Print(line)
}

func (r *rig) isOver() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.over
}

func (r *rig) set(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	r.store.Set(key, text)
}

func (r *rig) started(w *runner, task string) {
	if r.onStart != nil {
		r.onStart(w, task)
	}
}

// ended counts the ends of a task's runs by how they ended.
func (r *rig) ended(task, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ends[task+" "+how]++
}

func (r *rig) endsOf(task, how string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ends[task+" "+how]
}

// freeAddresses returns loopback addresses that are not in use.
func freeAddresses(n int) ([]string, error) {
	var list []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		list = append(list, l.Addr().String())
	}
	return list, nil
}

// start starts the platform and a number of instances and runners, and waits until jobs are accepted.
func (r *rig) start(instances, runners int) error {
	r.set("op/config", map[string]any{
		"version": 1, "limits": map[string]any{},
		"tenants":  []any{map[string]any{"name": "tenant", "apiKeys": []string{apiKey}, "guaranteed": map[string]int{"gpu": 8}}},
		"services": []any{map[string]any{"name": "service", "admissionCheck": false}},
		"routes": []any{map[string]any{
			"name": "queue", "host": host, "prefix": "/queue/", "service": "service", "priority": 1, "maxAttempts": 4, "stretch": 3, "targetDurationMs": 1000, "timeoutMs": 3000,
		}},
	})
	addresses, err := freeAddresses(runners)
	if err != nil {
		return err
	}
	for i := range runners {
		w := &runner{rig: r, id: fmt.Sprintf("i-%04d", i), addr: addresses[i], kind: "a", rack: fmt.Sprintf("r1-%d", 1+i/4)}
		if i == r.otherKind {
			w.kind = "b"
		}
		r.runners = append(r.runners, w)
		if err := w.begin(); err != nil {
			return err
		}
	}
	const ports = 5
	if addresses, err = freeAddresses(ports * instances); err != nil {
		return err
	}
	for i := range instances {
		own := addresses[i*ports:][:ports]
		if err := r.addInstance(fmt.Sprintf("edge-zone-a-%d", i+1), own[0], own[1], own[2], own[3]); err != nil {
			return err
		}
	}
	for _, i := range r.instances {
		i.begin()
	}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if status, _ := r.call(0, http.MethodGet, "", nil); status == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("no instance answers")
}

// freeRange returns the first of two consecutive free ports, below those from which the system takes ports for outgoing connections.
func freeRange() (int, error) {
	const first, last, tries = 10000, 30000, 100
	for range tries {
		port := first + 2*rand.N((last-first)/2)
		a, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		b, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port+1))
		_ = a.Close()
		if err != nil {
			continue
		}
		_ = b.Close()
		return port, nil
	}
	return 0, fmt.Errorf("no free ports")
}

func (r *rig) addInstance(name, frontend, readiness, control, storeAddress string) error {
	if err := serveStore(storeAddress, r.store.Client(name)); err != nil {
		return err
	}
	first, err := freeRange()
	if err != nil {
		return err
	}
	i := &instance{rig: r, name: name, frontend: frontend, readiness: readiness, settings: filepath.Join(r.dir, name+".yaml")}
	text := fmt.Sprintf(`node: %q
role: "entry"
machineClass: "edge"
serves: ["edge"]
ip: "127.0.0.1"
zone: "zone-a"
region: "region"
zones: {zone-a: "region"}
listen: {frontend: %q, readiness: %q, control: %q}
portRange: [%d, %d]
seeds: []
bootstrap: true
countsAsLoss: false
limits: {cpuShare: 0.4, cores: 1, memoryMb: 284, maxFds: 4100, linkMbps: 1000.0, diskMb: 0}
dataDir: null
discovery: "platform"
entry: "vip"
heartbeatMs: 1500
bounds: {seedLagS: 3, reuseAfterS: 2, stabilityWindowMs: 3000, ackTimeoutMs: 4000, catchUpS: 4, drainMs: 2000, graceS: 6, lossSlackMs: 200, configApplyMs: 2000, rollbackSlackMs: 250, maxStretchMs: 5000, revokeStrict: true, revokeMs: 5000, recoverS: 12, holdMaxMs: 6000, stopMs: 400, gangMs: 3000, cancel_ms: 3000, visible_ms: 3000, early_ms: 250, finish_s: 14, status_s: 120, remoteFactor: 3, checkpointIntervalS: 0.5, restoreMs: 100, noticeMs: 4500, moveS: 1.5, upkeepS: 2, fencing: true, leaseMs: 3000, thawMs: 300, paceMs: 100, harmMs: 4000, reclaimMs: 2900}
orders: "invocation"
platform: {address: %q, form: "kv", writesPerS: 400, readsPerS: 2000, historyS: 20, valueBytes: 1048576, ttlMinMs: 1000}
`, name, frontend, readiness, control, first, first+1, storeAddress)
	r.instances = append(r.instances, i)
	return os.WriteFile(i.settings, []byte(text), 0o600)
}

// begin starts the process, and starts it again whenever it ends.
func (i *instance) begin() {
	go func() {
		for !i.rig.isOver() {
			cmd := exec.Command(i.rig.program, "platform")
			cmd.Env = []string{"JUJUBEGRADE_SETTINGS=" + i.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C"}
			out, err := os.OpenFile(i.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
			if err != nil {
				i.rig.record("no log file: %v", err)
				return
			}
			cmd.Stdout, cmd.Stderr = out, out
			i.mu.Lock()
			err = cmd.Start()
			i.cmd = cmd
			i.mu.Unlock()
			if err != nil {
				i.rig.record("instance %s can't be started: %v", i.name, err)
				return
			}
			i.rig.record("instance %s: process %d", i.name, cmd.Process.Pid)
			err = cmd.Wait()
			_ = out.Close()
			i.mu.Lock()
			i.exits++
			i.mu.Unlock()
			if !i.rig.isOver() {
				i.rig.record("instance %s ended: %v", i.name, err)
				time.Sleep(restartDelay)
			}
		}
	}()
}

func (i *instance) signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cmd != nil && i.cmd.Process != nil {
		_ = i.cmd.Process.Signal(s) // it may have ended
	}
}

func (r *rig) close() {
	r.mu.Lock()
	r.over = true
	r.mu.Unlock()
	for _, i := range r.instances {
		i.signal(syscall.SIGKILL)
	}
	time.Sleep(200 * time.Millisecond)
	if dir := os.Getenv("RIG_LOGS"); dir != "" {
		for _, i := range r.instances {
			text, err := os.ReadFile(i.settings + ".log")
			if err == nil {
				_ = os.WriteFile(filepath.Join(dir, i.name+".log"), text, 0o600)
			}
		}
	}
}

// call makes a client's call for a job at an instance. Without an answer the status is 0.
func (r *rig) call(at int, method, id string, body any) (int, string) {
	var in io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		in = bytes.NewReader(text)
	}
	req, err := http.NewRequest(method, "http://"+r.instances[at].frontend+"/queue/"+id, in)
	if err != nil {
		panic(err)
	}
	req.Host = host
	req.Header.Set("X-Key", apiKey)
	req.Header.Set("X-Deadline-Ms", "3000")
	client := http.Client{Timeout: 4 * time.Second, Transport: r.client.Transport}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(bytes.TrimSpace(text))
}

// state asks for a job's state.
func (r *rig) state(at int, id string) (int, string) {
	status, body := r.call(at, http.MethodGet, id, nil)
	var answer struct {
		State string `json:"state"`
	}
	if status == http.StatusOK && json.Unmarshal([]byte(body), &answer) == nil {
		return status, answer.State
	}
	return status, body
}

// rss returns the resident memory of the process in megabytes.
func (i *instance) rss() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cmd == nil || i.cmd.Process == nil {
		return 0
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", i.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	var size, resident int
	if _, err := fmt.Sscan(string(text), &size, &resident); err != nil {
		return 0
	}
	return resident * os.Getpagesize() >> 20
}

// memoryMB is memoryMb of the settings. The platform kills a process that exceeds it.
const memoryMB = 284

// limitMemory kills the processes that exceed their memory, as the platform does.
func (r *rig) limitMemory() {
	for !r.isOver() {
		for _, i := range r.instances {
			if mb := i.rss(); mb > memoryMB {
				r.record("platform: instance %s uses %d MB of %d MB and is killed", i.name, mb, memoryMB)
				i.signal(syscall.SIGKILL)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}
