package main

import (
	"html/template"
	"io"
	"sort"
	"time"

	"github.com/jujubegrade/jujubegrade/pkg/operator"
)

type (
	// timelinePicture is the data of the HTML template.
	timelinePicture struct {
		From, To      time.Time
		Width, Height int
		Lanes         []timelineLane
		Marks         []timelineMark
		Dropped       uint64
	}

	// timelineLane is the horizontal lane of one instance; Y is in pixels.
	timelineLane struct {
		Name string
		Y    int
	}

	// timelineMark is one event in its lane; X and Y are in pixels.
	timelineMark struct {
		operator.Event
		X, Y int
	}
)

const (
	pictureWidth  = 1200 // pixels, without the margins
	pictureMargin = 120  // pixels
	laneHeight    = 40   // pixels
)

var timelineTemplate = template.Must(template.New("timeline").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>jujubegrade timeline</title>
<style>
body { font: 13px sans-serif; margin: 1em }
td, th { padding: 2px 8px; text-align: left; vertical-align: top }
circle { fill: #36c } circle:hover { fill: #c33 }
line { stroke: #bbb }
</style></head><body>
<h1>Timeline</h1>
<p>{{.From.Format "2006-01-02 15:04:05.000"}} to {{.To.Format "15:04:05.000"}}{{if .Dropped}}; {{.Dropped}} older events were dropped because buffers were full{{end}}</p>
<svg width="{{.Width}}" height="{{.Height}}" role="img">
{{range .Lanes}}<line x1="0" x2="100%" y1="{{.Y}}" y2="{{.Y}}"/><text x="0" y="{{.Y}}" dy="-4">{{.Name}}</text>
{{end}}{{range .Marks}}<circle cx="{{.X}}" cy="{{.Y}}" r="4"><title>{{.Time.Format "15:04:05.000"}} {{.Kind}} {{.Job}} {{.Cause}}</title></circle>
{{end}}</svg>
<table><tr><th>Time</th><th>Instance</th><th>Event</th><th>Data centre</th><th>Epoch</th><th>Job</th><th>Account</th><th>Cause</th></tr>
{{range .Marks}}<tr><td>{{.Time.Format "15:04:05.000"}}</td><td>{{.Instance}}</td><td>{{.Kind}}</td><td>{{.DataCentre}}</td><td>{{.Epoch}}</td><td>{{.Job}}</td><td>{{.Account}}</td><td>{{.Cause}}</td></tr>
{{end}}</table></body></html>
`))

// writeTimelineHTML writes the events as a self-contained page with one lane per instance and a table.
func writeTimelineHTML(w io.Writer, t operator.Timeline) error {
	return timelineTemplate.Execute(w, pictureOf(t))
}

func pictureOf(t operator.Timeline) timelinePicture {
	p := timelinePicture{Width: pictureWidth + 2*pictureMargin, Dropped: t.Dropped}
	if len(t.Events) > 0 {
		p.From, p.To = t.Events[0].Time, t.Events[len(t.Events)-1].Time
	}
	lanes := make(map[string]int)
	for _, e := range t.Events {
		lanes[e.Instance] = 0
	}
	for name := range lanes {
		p.Lanes = append(p.Lanes, timelineLane{Name: name})
	}
	sort.Slice(p.Lanes, func(i, j int) bool { return p.Lanes[i].Name < p.Lanes[j].Name })
	for i := range p.Lanes {
		p.Lanes[i].Y = (i + 1) * laneHeight
		lanes[p.Lanes[i].Name] = p.Lanes[i].Y
	}
	p.Height = (len(p.Lanes) + 1) * laneHeight
	span := max(time.Millisecond, p.To.Sub(p.From))
	for _, e := range t.Events {
		x := pictureMargin + int(float64(pictureWidth)*float64(e.Time.Sub(p.From))/float64(span))
		p.Marks = append(p.Marks, timelineMark{Event: e, X: x, Y: lanes[e.Instance]})
	}
	return p
}
