package poolowner

import (
	"fmt"

	"go.uber.org/zap/zapcore"

	"github.com/jujubegrade/jujubegrade/internal/connection/worker"
	"github.com/jujubegrade/jujubegrade/internal/process/pool"
)

type (
	// lossFields writes what was known of a worker when runs counted as lost.
	lossFields struct{ *pool.Loss }

	// endingFields writes how the previous run of a unit ended.
	endingFields struct{ *pool.Ending }
)

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (l lossFields) MarshalLogObject(e zapcore.ObjectEncoder) error {
	e.AddDuration("evidenceAge", l.EvidenceAge)
	e.AddDuration("reportAge", l.ReportAge)
	e.AddDuration("leaseLeft", l.LeaseLeft)
	return nil
}

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (p endingFields) MarshalLogObject(e zapcore.ObjectEncoder) error {
	e.AddUint64("run", uint64(p.Number))
	e.AddString("cause", p.Cause)
	e.AddDuration("age", p.Age)
	if p.Loss == nil {
		return nil
	}
	e.AddString("lostOn", string(p.Loss.Worker))
	e.AddString("evidence", p.Loss.Cause)
	return lossFields{p.Loss}.MarshalLogObject(e)
}

// describeRuns returns each run as task and number, such as "4c1d/0/2 run 1003".
func describeRuns(runs []worker.Run) []string {
	list := make([]string, 0, len(runs))
	for _, r := range runs {
		list = append(list, fmt.Sprintf("%s run %d", r.Task, r.Number))
	}
	return list
}
