package test

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/jujubegrade/jujubegrade/internal/connection/instancelist"
	"github.com/jujubegrade/jujubegrade/internal/testrun"
	"github.com/jujubegrade/jujubegrade/pkg/caller"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// oddInstances returns malformed entries of the instance list, some of which have the id of a worker.
func oddInstances() []string {
	const good = `{"ID":"odd","Role":"Worker","Address":"127.0.0.1:1","DataCentre":"north","Slots":31,"Rack":"r1","Total":{"Accelerators":8,"Cores":64000,"Memory":1024}}`
	replace := func(pairs ...string) string { return strings.NewReplacer(pairs...).Replace(good) }
	list := []string{
		replace("127.0.0.1:1", "127.0.0.1:99999"), replace("127.0.0.1:1", "127.0.0.1"), replace("127.0.0.1:1", ""), replace("64000", "-64000"), replace("64000", "4611686018427387904"),
		replace(`"odd"`, `""`), replace("Worker", "Runner", "127.0.0.1:1", ":0"),
	}
	for i := range 7 {
		list = append(list, replace(`"odd"`, fmt.Sprintf(`"worker-%d"`, i)), replace(`"odd"`, fmt.Sprintf(`"worker-%d"`, i), "8,", "-8,"))
	}
	for _, entries := range testrun.OddEntries(good, "31", `"r1"`) {
		for _, e := range entries {
			if strings.Count(e, "[")+strings.Count(e, "{") == strings.Count(e, "]")+strings.Count(e, "}") {
				list = append(list, e)
			}
		}
	}
	for range 2000 {
		list = append(list, replace("8,", "-8,"))
	}
	return list
}

// Guards against malformed entries of the instance list that end the instances, keep them from following the list, cost them processor time or memory, or make them
// lose runs or start them again, also after a change of the owner.
func TestProcessesWithOddInstances(t *testing.T) {
	var odd atomic.Bool
	malformed := oddInstances()
	c := newClusterWithList(t, func(list string, rc *fasthttp.RequestCtx) {
		status, body, err := fasthttp.GetTimeout(nil, "http://"+list+instancelist.PathInstances, time.Second)
		if err != nil || status != fasthttp.StatusOK {
			rc.SetStatusCode(fasthttp.StatusServiceUnavailable)
			return
		}
		var entries []json.RawMessage
		if err := json.Unmarshal(body, &entries); err != nil || !odd.Load() {
			rc.SetBody(body)
			return
		}
		var all []string
		for _, e := range entries {
			all = append(all, string(e))
		}
		rc.SetBodyString("[" + strings.Join(append(all, malformed...), ",") + "]")
	})
	c.configure()
	running := c.submit("owed", "running", gangShape, 12*time.Second, false)
	c.awaitJob(running, caller.Running)
	odd.Store(true)
	address := testrun.FreeAddresses(t, 1)[0]
	c.startProcess("standin", "worker", "-listen", address, "-list", c.list, "-id", "worker-6", "-datacentre", "north", "-rack", "r1")
	c.awaitListener(address)
	time.Sleep(time.Second)
	processes := make(map[string]int)
	for i, p := range c.entries {
		processes[fmt.Sprintf("entry-%d", i)] = p.Process.Pid
	}
	testrun.RequireFrugal(t, processes)
	small := ids.Shape{Tasks: 2, Each: ids.Resources{Accelerators: 4}}
	c.awaitJob(c.submit("borrower", "before", small, 100*time.Millisecond, true), caller.Done)
	owner := c.owner(c.entries[0])
	require.NoError(t, c.entries[owner].Process.Kill())
	<-c.entries[owner].exited
	require.NotEqual(t, owner, c.owner(c.entries[(owner+1)%3]))
	require.EqualValues(t, 1, c.awaitJob(running, caller.Done).Attempt)
	c.awaitJob(c.submit("borrower", "after", small, 100*time.Millisecond, true), caller.Done)
	all := ids.Shape{Tasks: 7, Each: ids.Resources{Accelerators: 8}}
	c.awaitJob(c.submit("owed", "all", all, 100*time.Millisecond, true), caller.Done)
	for i, p := range c.entries {
		require.Equal(t, i != owner, p.live(), "entry-%d", i)
	}
}
