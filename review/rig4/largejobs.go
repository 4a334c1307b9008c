package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"
)

const (
	// memoryMB is the limit of the settings.
	memoryMB = 284
	// restartDelay is the short delay after which the platform starts a process again.
	restartDelay = 2 * time.Second
	memoryLook   = 20 * time.Millisecond
)

// memoryOf returns the memory of a process in MB, zero if it has ended.
func memoryOf(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		kb := 0
		if _, err := fmt.Sscanf(line, "VmRSS: %d kB", &kb); err == nil {
			return kb >> 10
		}
	}
	return 0
}

// limitMemory kills the process of an instance whenever it exceeds its limit, and starts it again, until the deployment ends.
func (d *deployment) limitMemory(i *instance) {
	peak := 0
	for d.ctx.Err() == nil {
		time.Sleep(memoryLook)
		used := memoryOf(i.cmd.Process.Pid)
		if used > peak+32 {
			peak = used
			d.log.add("%s: %d MB", i.name, used)
		}
		if used <= memoryMB {
			continue
		}
		i.ends.Add(1)
		d.log.add("%s: %d MB are over its limit of %d MB; it is killed, number %d", i.name, used, memoryMB, i.ends.Load())
		_ = i.cmd.Process.Signal(syscall.SIGKILL) // it may have ended
		_ = i.cmd.Wait()
		time.Sleep(restartDelay)
		peak = 0
		if d.ctx.Err() != nil {
			return
		}
		if err := d.startProcess(i); err != nil {
			d.log.add("%s: %v", i.name, err)
			return
		}
	}
}

// largeJobs hands in a few jobs of many small tasks, for all of which the runners have room at once.
func largeJobs(d *deployment, trouble bool) int {
	if err := d.begin(8, 3, nil); err != nil {
		return d.fail("%v", err)
	}
	for _, i := range d.instances {
		go d.limitMemory(i)
	}
	// The greatest width of a step in the site file is 94.
	const jobs, attempts = 5, 5
	tasks := 94
	if trouble {
		tasks = 10000
	}
	step := map[string]any{"count": tasks, "cpu": 20, "memMb": 20, "estimateMs": 20000}
	var accepted []string
	for k := range jobs {
		id := fmt.Sprintf("5c0e7a21d94b36%02x", k)
		for try := range attempts {
			status, answer := d.call(http.MethodPost, id, map[string]any{"spec": "20s", "steps": []any{step}}, k+try)
			d.log.add("client: POST %s of %d tasks: %d %s", id, tasks, status, answer)
			if status == http.StatusOK {
				accepted = append(accepted, id)
				break
			}
			time.Sleep(time.Second)
		}
	}
	if len(accepted) == 0 {
		return d.fail("no job was accepted")
	}
	const longest = 95 * time.Second
	ended := make(map[string]bool)
	for turn := 0; time.Since(d.log.began) < longest && len(ended) < len(accepted); turn++ {
		time.Sleep(200 * time.Millisecond)
		id := accepted[turn%len(accepted)]
		status, answer := d.call(http.MethodGet, id, nil, turn)
		d.log.add("client: GET %s: %d %s", id, status, answer)
		if status == http.StatusOK && strings.Contains(answer, "completed") {
			ended[id] = true
		}
		machines := 0
		for _, i := range d.instances {
			if i.ends.Load() >= 3 {
				machines++
			}
		}
		if machines >= 2 {
			d.log.add("Fault: on %d of %d machines processes have ended by themselves three times; %d of %d jobs are done", machines, len(d.instances), len(ended), len(accepted))
			return broken
		}
	}
	for _, i := range d.instances {
		d.log.add("%s: ended by itself %d times", i.name, i.ends.Load())
	}
	return held
}
