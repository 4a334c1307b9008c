package entry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/jujubegrade/jujubegrade/internal/standin/platform"
	"github.com/jujubegrade/jujubegrade/internal/standin/runnerservice"
	"github.com/jujubegrade/jujubegrade/internal/standin/workerservice"
	"github.com/jujubegrade/jujubegrade/pkg/caller"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// BenchmarkProxiedRequest compares a request proxied by an entry instance with one sent directly to the runner.
func BenchmarkProxiedRequest(b *testing.B) {
	_, entries := startFleet(b, 1, 1)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	direct := &fasthttp.Server{Handler: (&runnerservice.Service{Slots: 1024}).Handler()}
	go func() { _ = direct.Serve(listener) }()
	b.Cleanup(func() { _ = listener.Close() })
	targets := []struct{ name, address, path string }{
		{"direct", listener.Addr().String(), "/x"},
		{"proxied", entries[0].Settings.Callers, "/service/catalogue/x?Account=a"},
	}
	for _, target := range targets {
		b.Run(target.name, func(b *testing.B) {
			client := &fasthttp.HostClient{Addr: target.address}
			latency := hdrhistogram.New(1, int64(time.Minute), 3)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				began := time.Now()
				req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
				req.SetRequestURI("http://" + target.address + target.path)
				req.Header.Set("Authorization", "Bearer "+platform.OperatorToken)
				req.Header.Set(caller.HeaderIdempotent, "true")
				if err := client.Do(req, resp); err != nil || resp.StatusCode() != 200 {
					b.Fatalf("%v, status %d: %s", err, resp.StatusCode(), resp.Body())
				}
				fasthttp.ReleaseRequest(req)
				fasthttp.ReleaseResponse(resp)
				require.NoError(b, latency.RecordValue(int64(time.Since(began))))
			}
			b.ReportMetric(float64(latency.ValueAtQuantile(50))/1e3, "p50-us")
			b.ReportMetric(float64(latency.ValueAtQuantile(99))/1e3, "p99-us")
		})
	}
}

// BenchmarkGangStart measures the time from the submission of a gang to the start of its last task, and the store calls
// per job.
func BenchmarkGangStart(b *testing.B) {
	for _, tasks := range []int{1, 8, 64, 256} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			p, entries := startFleet(b, 1, 64)
			c := caller.NewClient(entries[0].Settings.Callers, platform.OperatorToken)
			payload, err := json.Marshal(workerservice.Payload{RunTime: time.Millisecond})
			require.NoError(b, err)
			running := make(chan struct{}, tasks)
			p.VisitWorkers(func(_ ids.InstanceID, w *workerservice.Service) {
				w.ObserveStarts(func(started bool) {
					if started {
						running <- struct{}{}
					}
				})
			})
			calls := 0.0
			b.ResetTimer()
			for i := range b.N {
				before := entries[0].Metrics()
				job := caller.Job{Key: fmt.Sprint(i), Shape: ids.Shape{Tasks: tasks, Each: ids.Resources{Accelerators: 2}}, RunTime: time.Second, Payload: payload}
				status, err := c.Submit(context.Background(), "a", job)
				require.NoError(b, err)
				for range tasks {
					<-running
				}
				b.StopTimer()
				require.Eventually(b, func() bool {
					status, err = c.Status(context.Background(), status.ID, status.DataCentre)
					return err == nil && status.State == caller.Done
				}, 10*time.Second, 5*time.Millisecond)
				after := entries[0].Metrics()
				calls += float64(after.StoreWrites - before.StoreWrites + after.StoreReads - before.StoreReads)
				b.StartTimer()
			}
			b.ReportMetric(calls/float64(b.N), "store-calls/job")
		})
	}
}
