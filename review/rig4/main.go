// Rig4 runs one case of the third review: instances of jujubegrade as processes of their own, against stand-ins of the store, the runners and a proxy before one of them.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

type (
	// deployment is a small deployment on loopback addresses.
	deployment struct {
		log       *record
		store     *store
		runners   []*runner
		instances []*instance
		folder    string
		ctx       context.Context
		end       context.CancelFunc
	}

	instance struct {
		name, frontend, readiness string
		// settings is the path of its settings file.
		settings string
		cmd      *exec.Cmd
		// ends counts how often it has ended by itself.
		ends atomic.Int64
	}
)

const (
	host = "billing.example"
	key  = "key-of-tenant-1"
)

// The exit codes of a case.
const (
	held = iota
	broken
	couldNotRun
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: rig4 CASE, in the folder of the case; PROGRAM names the program, TROUBLE=0 leaves the disruption out")
		os.Exit(couldNotRun)
	}
	os.Exit(run(os.Args[1]))
}

func run(name string) int {
	log, err := newRecord("record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	d := &deployment{log: log, store: newStore()}
	d.ctx, d.end = context.WithCancel(context.Background())
	defer d.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		d.close()
		os.Exit(couldNotRun)
	}()
	c, found := map[string]func(d *deployment, trouble bool) int{"late-order": lateOrder, "late-copy": lateCopy, "late-cancelled": lateCancelled, "large-jobs": largeJobs}[name]
	if !found {
		fmt.Fprintln(os.Stderr, "no such case")
		return couldNotRun
	}
	code := c(d, os.Getenv("TROUBLE") != "0")
	log.add("exit with %d", code)
	return code
}

// fail records why a case could not run.
func (d *deployment) fail(format string, values ...any) int {
	d.log.add("the case could not run: "+format, values...)
	return couldNotRun
}

// begin starts runners and instances and waits until jobs are taken.
func (d *deployment) begin(runners, instances int, reached func(r *runner) (string, error)) error {
	folder, err := os.MkdirTemp("", "rig4")
	if err != nil {
		return err
	}
	d.folder = folder
	storeListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(storeListener, d.store) }() // ends with the process
	d.store.set("op/config", map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "queue", "host": host, "prefix": "/jobs/", "service": "billing", "priority": 1, "maxAttempts": 3, "stretch": 3, "targetDurationMs": 20000, "timeoutMs": 3000, "public": false,
		}},
		"services": []any{map[string]any{"name": "billing", "admissionCheck": false}},
		"tenants":  []any{map[string]any{"name": "tenant-1", "apiKeys": []string{key}, "guaranteed": map[string]int{"gpu": 16}}},
		"limits":   map[string]any{},
	}, 0)
	for k := range runners {
		r := &runner{id: fmt.Sprintf("i-%02d", k), rack: fmt.Sprintf("r1-%d", k/8), address: "127.0.0.1:0", store: d.store, log: d.log}
		if err := r.start(); err != nil {
			return err
		}
		address := r.address
		if reached != nil {
			if address, err = reached(r); err != nil {
				return err
			}
		}
		d.runners = append(d.runners, r)
		go r.beat(d.ctx, address)
	}
	for k := range instances {
		if err := d.startInstance(fmt.Sprintf("edge-a-%d", k+1), storeListener.Addr().String()); err != nil {
			return err
		}
	}
	for until := time.Now().Add(15 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		if status, _ := d.call(http.MethodGet, "", nil, 1); status == http.StatusOK {
			time.Sleep(time.Second)
			return nil
		}
	}
	return fmt.Errorf("no instance answers")
}

// freePorts returns two neighbouring free ports, and two others.
func freePorts() (first int, others [2]string, err error) {
	for range 100 {
		var listeners []net.Listener
		for range 3 {
			l, listenErr := net.Listen("tcp", "127.0.0.1:0")
			if listenErr != nil {
				return 0, others, listenErr
			}
			listeners = append(listeners, l)
		}
		first = listeners[0].Addr().(*net.TCPAddr).Port
		others = [2]string{listeners[1].Addr().String(), listeners[2].Addr().String()}
		next, nextErr := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first+1))
		for _, l := range listeners {
			_ = l.Close()
		}
		if nextErr == nil {
			_ = next.Close()
			return first, others, nil
		}
	}
	return 0, others, fmt.Errorf("no free ports")
}

func (d *deployment) startInstance(name, storeAddress string) error {
	first, others, err := freePorts()
	if err != nil {
		return err
	}
	settings := map[string]any{
		"node": name, "role": "entry", "machineClass": "edge", "serves": []string{"edge"}, "ip": "127.0.0.1", "zone": "zone-a", "region": "region",
		"listen": map[string]string{"frontend": others[0], "readiness": others[1]}, "portRange": []int{first, first + 1}, "bootstrap": true,
		"limits":      map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0},
		"heartbeatMs": 1500, "orders": "invocation",
		"bounds": map[string]any{
			"stabilityWindowMs": 3000, "ackTimeoutMs": 4000, "drainMs": 2000, "graceS": 6, "lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "revokeStrict": true, "revokeMs": 5000, "recoverS": 12,
			"holdMaxMs": 6000, "stopMs": 400, "gangMs": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120, "remoteFactor": 3, "restoreMs": 100, "fencing": true,
			"leaseMs": 3000, "reclaimMs": 2900,
		},
		"platform": map[string]any{"address": storeAddress, "form": "kv", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000},
	}
	// JSON is YAML.
	text, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	path := filepath.Join(d.folder, name+".yaml")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	i := &instance{name: name, frontend: others[0], readiness: others[1], settings: path}
	if err := d.startProcess(i); err != nil {
		return err
	}
	d.instances = append(d.instances, i)
	return nil
}

// startProcess starts the process of an instance, for the first time or again.
func (d *deployment) startProcess(i *instance) error {
	output, err := os.OpenFile(filepath.Join(d.folder, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }() // the process has it open
	i.cmd = exec.Command(os.Getenv("PROGRAM"), "platform")
	i.cmd.Dir = os.Getenv("ROOT")
	i.cmd.Env = append(os.Environ(), "JUJUBEGRADE_SETTINGS="+i.settings)
	i.cmd.Stdout, i.cmd.Stderr = output, output
	return i.cmd.Start()
}

// call makes a client's call at an instance and returns the status, zero without an answer.
func (d *deployment) call(method, id string, body any, at int) (int, string) {
	var payload io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return 0, ""
		}
		payload = bytes.NewReader(text)
	}
	i := d.instances[at%len(d.instances)]
	ctx, cancel := context.WithTimeout(d.ctx, 3*time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, "http://"+i.frontend+"/jobs/"+id, payload)
	if err != nil {
		return 0, ""
	}
	q.Host = host
	q.Header.Set("X-Key", key)
	q.Header.Set("X-Deadline-Ms", "3000")
	q.Header.Set("Content-Type", "application/json")
	answer, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = answer.Body.Close() }()
	text, _ := io.ReadAll(answer.Body)
	return answer.StatusCode, strings.TrimSpace(string(text))
}

// close ends all processes.
func (d *deployment) close() {
	d.end()
	var wait sync.WaitGroup
	for _, i := range d.instances {
		_ = i.cmd.Process.Signal(syscall.SIGKILL) // it may have ended
		wait.Go(func() { _ = i.cmd.Wait() })
	}
	wait.Wait()
	if d.folder != "" && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	} else {
		fmt.Println(d.folder)
	}
}
