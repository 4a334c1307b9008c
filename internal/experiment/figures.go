package experiment

import (
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/jujubegrade/jujubegrade/internal/process/placement"
	"github.com/jujubegrade/jujubegrade/pkg/caller"
)

type (
	// Figures are what a run was measured at.
	Figures struct {
		decisions *hdrhistogram.Histogram
		stranded  float64
		samples   int
		// withFree counts the samples with free accelerators.
		withFree int
		// blocked counts the samples at which the largest guaranteed shape could not be had.
		blocked  int
		outcomes []*outcome
		end      time.Time
	}

	// Figure is one measured value.
	Figure struct {
		Name  string
		Value float64
		Unit  string
	}
)

const (
	// urgentBound is the time in which urgent owed work has to start.
	urgentBound = 4100 * time.Millisecond
	// maxDecision bounds the histogram of decision times, in nanoseconds.
	maxDecision = int64(10 * time.Second)
)

func newFigures() *Figures {
	return &Figures{decisions: hdrhistogram.New(1, maxDecision, 3)}
}

func (f *Figures) decision(took time.Duration) {
	// A value beyond the histogram's range can't come, since a run ends before.
	_ = f.decisions.RecordValue(int64(took))
}

// sample adds the share of free accelerators that can't serve the largest guaranteed shape.
func (f *Figures) sample(s *placement.State) {
	f.samples++
	if !s.LargestAtHand() {
		f.blocked++
	}
	free := s.FreeAccelerators()
	if free == 0 {
		return
	}
	sum := 0.0
	for _, stranded := range s.Stranded() {
		sum += float64(stranded)
	}
	f.stranded += sum / float64(free)
	f.withFree++
}

func (f *Figures) finish(r *run) {
	f.end = r.now
	for _, o := range r.truth {
		f.outcomes = append(f.outcomes, o)
	}
	sort.Slice(f.outcomes, func(i, j int) bool { return f.outcomes[i].job.Key < f.outcomes[j].job.Key })
}

// List returns the figures in a fixed order.
func (f *Figures) List() []Figure {
	list := f.completion()
	list = append(list, f.owed()...)
	list = append(list, f.work()...)
	list = append(list, f.lateness()...)
	return append(
		list,
		Figure{"FragmentationShare", f.stranded / float64(max(1, f.withFree)), "ratio"},
		Figure{"LargestShapeBlocked", ratio(f.blocked, f.samples), "ratio"},
		Figure{"DecisionP50", float64(f.decisions.ValueAtQuantile(50)) / 1e3, "us"},
		Figure{"DecisionP99", float64(f.decisions.ValueAtQuantile(99)) / 1e3, "us"},
	)
}

// Value returns one figure by its name.
func (f *Figures) Value(name string) float64 {
	for _, figure := range f.List() {
		if figure.Name == name {
			return figure.Value
		}
	}
	return 0
}

func (f *Figures) completion() []Figure {
	var list []Figure
	for _, kind := range []string{"all", "guaranteed", "small", "medium", "large"} {
		var times []float64
		for _, o := range f.outcomes {
			if o.state == caller.Done && (kind == "all" || kind == o.kind) {
				times = append(times, o.finished.Sub(o.submitted).Minutes())
			}
		}
		sort.Float64s(times)
		list = append(
			list,
			Figure{"CompletionP50/" + kind, quantile(times, 0.5), "min"},
			Figure{"CompletionP95/" + kind, quantile(times, 0.95), "min"},
			Figure{"CompletionP99/" + kind, quantile(times, 0.99), "min"},
		)
	}
	return append(list, Figure{"LongestWait/large", f.longestWait("large"), "min"})
}

func (f *Figures) longestWait(kind string) float64 {
	longest := 0.0
	for _, o := range f.outcomes {
		if o.kind != kind || o.state == caller.Refused || o.state == caller.Cancelled {
			continue
		}
		until := o.started
		if until.IsZero() {
			until = f.end
		}
		longest = max(longest, until.Sub(o.submitted).Minutes())
	}
	return longest
}

// owed rates the guaranteed work whose shape was unused when it came.
func (f *Figures) owed() []Figure {
	inTime, count := 0, 0
	var waits []float64
	for _, o := range f.outcomes {
		if !o.guaranteed || !o.fitted || o.state == caller.Cancelled {
			continue
		}
		count++
		if o.started.IsZero() {
			continue
		}
		wait := o.started.Sub(o.submitted)
		waits = append(waits, wait.Seconds())
		if wait <= urgentBound {
			inTime++
		}
	}
	sort.Float64s(waits)
	return []Figure{
		{"OwedGangs", float64(count), "gangs"},
		{"OwedStartedInTime", ratio(inTime, count), "ratio"},
		{"OwedStartP99", quantile(waits, 0.99), "s"},
	}
}

func (f *Figures) work() []Figure {
	var done, lost float64
	ended, unknown, failed, open := 0, 0, 0, 0
	for _, o := range f.outcomes {
		lost += o.lost
		switch o.state {
		case caller.Done:
			ended++
			done += o.runTime.Hours() * float64(o.job.Shape.Total().Accelerators)
		case caller.Unknown:
			unknown++
		case caller.Failed:
			failed++
		case "":
			open++
		}
	}
	return []Figure{
		{"JobsDone", float64(ended), "jobs"},
		{"JobsFailed", float64(failed), "jobs"},
		{"JobsUnknown", float64(unknown), "jobs"},
		{"JobsOpen", float64(open), "jobs"},
		{"WorkDone", done, "acc-h"},
		{"WorkLost", lost, "acc-h"},
	}
}

func (f *Figures) lateness() []Figure {
	late, warned, false_, onTime := 0, 0, 0, 0
	var leads []float64
	for _, o := range f.outcomes {
		if o.job.Due.IsZero() || o.state != caller.Done {
			continue
		}
		if !o.finished.After(o.job.Due) {
			onTime++
			if !o.warned.IsZero() {
				false_++
			}
			continue
		}
		late++
		if !o.warned.IsZero() && o.warned.Before(o.job.Due) {
			warned++
			leads = append(leads, o.job.Due.Sub(o.warned).Minutes())
		}
	}
	sort.Float64s(leads)
	return []Figure{
		{"LateJobs", float64(late), "jobs"},
		{"LateWarnedBeforeDue", ratio(warned, late), "ratio"},
		{"LateMedianLead", quantile(leads, 0.5), "min"},
		{"FalseWarnings", ratio(false_, onTime), "ratio"},
	}
}

func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
