package runservice

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
)

// renew renews the lease and returns a report, once a run has ended or the wait is over.
func (w *Worker) renew(ctx context.Context, o worker.RenewRunsRequest) (worker.RunReport, error) {
	sent, sentTo := time.Now(), w.Incarnation()
	var report worker.RunReport
	var changed chan struct{}
	buildReport := func() error {
		report, changed = worker.RunReport{Incarnation: w.incarnation}, w.changed
		for _, r := range w.runs {
			report.Active = append(report.Active, worker.ActiveRun{Run: r.Run, Percent: r.progressPercent(w.hangRuns)})
		}
		report.Ended = append(report.Ended, w.pendingEnds...)
		if limit := w.fleet.endsPerReport; limit > 0 && len(report.Ended) >= limit {
			report.Ended, report.MoreEnds = report.Ended[:limit], true
		}
		return nil
	}
	err := w.handleCall(ctx, "renew", func() error {
		if err := w.checkEpoch(o.Epoch); err != nil {
			return err
		}
		for len(w.pendingEnds) > 0 && w.pendingEnds[0].Number <= o.Acknowledged {
			w.observe(Event{Kind: Acknowledged, Run: w.pendingEnds[0].Run, Number: w.pendingEnds[0].Number, Reason: w.pendingEnds[0].Reason})
			w.pendingEnds = w.pendingEnds[1:]
		}
		if o.Lease > 0 {
			w.extendLease(w.leaseEnd(sent, sentTo, o.Lease))
		}
		return buildReport()
	})
	if err != nil {
		// A call that is executed after a delay may still write to report, so report must not be read here.
		return worker.RunReport{}, err
	}
	if o.Wait == 0 || len(report.Ended) > 0 {
		return report, nil
	}
	select {
	case <-changed:
	case <-time.After(o.Wait):
	case <-ctx.Done():
		return worker.RunReport{}, errors.New("the worker did not answer")
	}
	if err := w.handleCall(ctx, "renewed", buildReport); err != nil {
		return worker.RunReport{}, err
	}
	return report, nil
}

// progressPercent returns the completed part of a run in percent.
func (r *run) progressPercent(hangs bool) int {
	if hangs || r.spec.RunTime <= 0 {
		return 0
	}
	return int(min(99, 100*time.Since(r.started)/r.spec.RunTime))
}
