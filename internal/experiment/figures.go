package experiment

import (
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/jujubegrade/jujubegrade/internal/process/placement"
	"github.com/jujubegrade/jujubegrade/pkg/caller"
)

type (
	// Figures holds the measurements of one simulation.
	Figures struct {
		decisionTimes *hdrhistogram.Histogram
		// strandedShares is the sum of the samples' shares of stranded accelerators.
		strandedShares float64
		samples        int
		// samplesWithFree counts the samples with free accelerators.
		samplesWithFree int
		// samplesBlocked counts the samples in which the largest guaranteed shape was not available.
		samplesBlocked int
		outcomes       []*outcome
		end            time.Time
	}

	// Figure is one measured value.
	Figure struct {
		Name  string
		Value float64
		Unit  string
	}
)

const (
	// owedStartLimit is the time within which an owed job has to start.
	owedStartLimit = 4100 * time.Millisecond
	// maxDecisionTime is the upper bound of the histogram of decision times, in nanoseconds.
	maxDecisionTime = int64(10 * time.Second)
)

func newFigures() *Figures {
	return &Figures{decisionTimes: hdrhistogram.New(1, maxDecisionTime, 3)}
}

func (f *Figures) recordDecision(took time.Duration) {
	// RecordValue fails only beyond the histogram's range, and no decision takes that long.
	_ = f.decisionTimes.RecordValue(int64(took))
}

// sample records whether the largest guaranteed shape is available and the share of free accelerators that cannot serve it.
func (f *Figures) sample(s *placement.State) {
	f.samples++
	if !s.LargestShapeAvailable() {
		f.samplesBlocked++
	}
	free := s.FreeAccelerators()
	if free == 0 {
		return
	}
	sum := 0.0
	for _, stranded := range s.Stranded() {
		sum += float64(stranded)
	}
	f.strandedShares += sum / float64(free)
	f.samplesWithFree++
}

func (f *Figures) finish(r *simulation) {
	f.end = r.now
	for _, o := range r.outcomes {
		f.outcomes = append(f.outcomes, o)
	}
	sort.Slice(f.outcomes, func(i, j int) bool { return f.outcomes[i].job.Key < f.outcomes[j].job.Key })
}

// List returns the figures in a fixed order.
func (f *Figures) List() []Figure {
	list := f.completionFigures()
	list = append(list, f.owedFigures()...)
	list = append(list, f.workFigures()...)
	list = append(list, f.latenessFigures()...)
	return append(
		list,
		Figure{"FragmentationShare", f.strandedShares / float64(max(1, f.samplesWithFree)), "ratio"},
		Figure{"LargestShapeBlocked", ratio(f.samplesBlocked, f.samples), "ratio"},
		Figure{"DecisionP50", float64(f.decisionTimes.ValueAtQuantile(50)) / 1e3, "us"},
		Figure{"DecisionP99", float64(f.decisionTimes.ValueAtQuantile(99)) / 1e3, "us"},
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

func (f *Figures) completionFigures() []Figure {
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

// owedFigures returns the figures of owed jobs: guaranteed jobs that arrived while a matching guaranteed shape was unused.
func (f *Figures) owedFigures() []Figure {
	inTime, count := 0, 0
	var waits []float64
	for _, o := range f.outcomes {
		if !o.guaranteed || !o.shapeUnused || o.state == caller.Cancelled {
			continue
		}
		count++
		if o.started.IsZero() {
			continue
		}
		wait := o.started.Sub(o.submitted)
		waits = append(waits, wait.Seconds())
		if wait <= owedStartLimit {
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

func (f *Figures) workFigures() []Figure {
	var done, lost float64
	ended, unknown, failed, open := 0, 0, 0, 0
	for _, o := range f.outcomes {
		lost += o.lostWork
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

func (f *Figures) latenessFigures() []Figure {
	late, warned, falseWarnings, onTime := 0, 0, 0, 0
	var leads []float64
	for _, o := range f.outcomes {
		if o.job.Due.IsZero() || o.state != caller.Done {
			continue
		}
		if !o.finished.After(o.job.Due) {
			onTime++
			if !o.warned.IsZero() {
				falseWarnings++
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
		{"FalseWarnings", ratio(falseWarnings, onTime), "ratio"},
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
