package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/stretchr/testify/require"

	"github.com/jujubegrade/jujubegrade/pkg/operator"
)

// runCommand runs one command line and returns its exit code and output.
func runCommand(t *testing.T, args ...string) (int, string) {
	file, err := os.CreateTemp(t.TempDir(), "out")
	require.NoError(t, err)
	code := run(context.Background(), args, file, file)
	out, err := os.ReadFile(file.Name())
	require.NoError(t, err)
	return code, string(out)
}

func TestExitCodes(t *testing.T) {
	broken := filepath.Join(t.TempDir(), "broken.ini")
	require.NoError(t, os.WriteFile(broken, []byte("[Policy]\nAgeingAfter = 3\n"), 0o600))
	settings := filepath.Join(t.TempDir(), "settings.yaml")
	require.NoError(t, os.WriteFile(settings, []byte("node: a\norders: heartbeat\n"), 0o600))
	cases := map[string]struct {
		args []string
		code int
		want string
	}{
		"version":              {[]string{"version"}, exitOK, "jujubegrade " + version},
		"valid file":           {[]string{"check", "../../examples/kerotechni.ini"}, exitOK, "valid"},
		"broken file":          {[]string{"check", broken}, exitUsage, "broken.ini:2: Policy.AgeingAfter"},
		"platform's settings":  {[]string{"check", settings}, exitUsage, "settings.yaml:2: orders: "},
		"missing file":         {[]string{"check", "no-such-file"}, exitFailed, "no-such-file"},
		"no instance":          {[]string{"config", "get", "-operators", "127.0.0.1:1"}, exitFailed, "jujubegrade: "},
		"unknown report":       {[]string{"report", "weather"}, exitFailed, "allowed are lateness"},
		"bad shape":            {[]string{"job", "submit", "-shape", "many"}, exitFailed, "is no shape"},
		"group without a name": {[]string{"config"}, exitUsage, "history"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			code, out := runCommand(t, c.args...)
			require.Equal(t, c.code, code, out)
			require.Contains(t, out, c.want)
		})
	}
}

func TestTimelineHTML(t *testing.T) {
	at := time.Date(2026, 12, 3, 10, 0, 0, 0, time.UTC)
	events := []operator.Event{
		{Time: at, Instance: "entry-2", Kind: "JobPlaced", Cause: "<script>alert(1)</script>"},
		{Time: at.Add(time.Second), Instance: "entry-1", Kind: "JobFinished"},
	}
	p := pictureOf(operator.Timeline{Events: events})
	require.Equal(t, []timelineLane{{"entry-1", laneHeight}, {"entry-2", 2 * laneHeight}}, p.Lanes)
	require.Equal(t, pictureMargin, p.Marks[0].X)
	require.Equal(t, pictureMargin+pictureWidth, p.Marks[1].X)
	var b bytes.Buffer
	require.NoError(t, writeTimelineHTML(&b, operator.Timeline{Events: events}))
	require.NotContains(t, b.String(), "<script>", "causes are escaped")
	require.NoError(t, writeTimelineHTML(&b, operator.Timeline{}), "an empty timeline also renders")
}

// TestManualPages compares the pages in man with the help texts of the commands. JUJUBEGRADE_WRITE_PAGES=1 regenerates the
// pages.
func TestManualPages(t *testing.T) {
	root := rootCommand(os.Stdout, os.Stderr)
	pages := map[string]string{"jujubegrade.md": manualPage(root)}
	for _, c := range root.Subcommands {
		text := manualPage(c)
		for _, sub := range c.Subcommands {
			text += "\n" + manualPage(sub)
		}
		pages["jujubegrade-"+c.Name+".md"] = text
	}
	for name, want := range pages {
		file := filepath.Join("../../man", name)
		if os.Getenv("JUJUBEGRADE_WRITE_PAGES") != "" {
			require.NoError(t, os.WriteFile(file, []byte(want), 0o644))
		}
		got, err := os.ReadFile(file)
		require.NoError(t, err)
		require.Equal(t, want, string(got), name)
	}
}

func manualPage(c *ffcli.Command) string {
	var b bytes.Buffer
	fmt.Fprintf(&b, "# %s\n\n%s.\n\n```\n%s\n```\n", strings.TrimPrefix(strings.Split(c.ShortUsage, " [")[0], ""), c.ShortHelp, strings.TrimSpace(ffcli.DefaultUsageFunc(c)))
	return b.String()
}

// TestTimelineOfLogs merges the logs of two instances in order of time. Lines of other programs and events of other jobs
// are skipped.
func TestTimelineOfLogs(t *testing.T) {
	dir := t.TempDir()
	first, second := filepath.Join(dir, "a.log"), filepath.Join(dir, "b.log")
	require.NoError(t, os.WriteFile(first, []byte(`{"level":"info","ts":"2026-12-01T08:00:02.000Z","msg":"decision: Done","instance":"a","epoch":2,"job":"j1","worker":"w1","cause":"ran 1s"}
not a log line
{"level":"info","ts":"2026-12-01T08:00:03.000Z","msg":"decision: Done","instance":"a","epoch":2,"job":"j2","worker":"w1","cause":"ran 1s"}
{"level":"info","ts":"2026-12-01T08:00:01.400Z","msg":"decision: RunsLost","instance":"a","epoch":2,"runs":["j2/0/0 run 1","j1/0/3 run 1001"],"job":"","worker":"w0","cause":"its entry names a new incarnation"}
{"level":"info","ts":"2026-12-01T08:00:01.400Z","msg":"decision: RunsLost","instance":"a","epoch":2,"runs":["j2/0/1 run 1"],"job":"","worker":"w0","cause":"its entry names a new incarnation"}
{"level":"info","ts":"2026-12-01T08:00:01.500Z","msg":"decision: Placed","instance":"a","epoch":2,"previous":{"run":1001,"lostOn":"w0","evidence":"its entry names a new incarnation"},"job":"j1","worker":"w1","cause":"free capacity"}
{"level":"info","ts":"2026-12-01T08:00:01.600Z","msg":"owner: ownership taken","instance":"a","epoch":2,"runs":1,"jobs":2}
`), 0o600))
	require.NoError(t, os.WriteFile(second, []byte(`   0.5 b {"level":"info","ts":"2026-12-01T08:00:01.000Z","msg":"call: refused","instance":"b","path":"/queue/j1","result":"Refused","cause":"it would wait 6s"}
`), 0o600))
	code, out := runCommand(t, "timeline", "-logs", first+","+second, "-job", "j1")
	require.Equal(t, exitOK, code, out)
	lines := strings.Split(strings.TrimSpace(out), "\n")
	require.Len(t, lines, 4, out)
	require.Contains(t, lines[0], "call: refused")
	require.Contains(t, lines[0], "Refused; it would wait 6s")
	require.Contains(t, lines[1], "decision: RunsLost")
	require.Contains(t, lines[2], "free capacity; w1; lost on w0: its entry names a new incarnation")
	require.Contains(t, lines[3], "decision: Done")
	require.Contains(t, lines[3], "ran 1s; w1")
	code, out = runCommand(t, "timeline", "-logs", filepath.Join(dir, "none.log"))
	require.Equal(t, exitFailed, code, out)
}

// The log of a job that changes its owner is in the files of two instances.
func TestJobTimeOfLogs(t *testing.T) {
	write := func(name string, lines ...string) string {
		file := filepath.Join(t.TempDir(), name)
		require.NoError(t, os.WriteFile(file, []byte(strings.Join(lines, "\n")+"\n"), 0o600))
		return file
	}
	first := write("a.log",
		`  1.0 a {"ts":"2026-12-04T08:00:01.000Z","msg":"call: admitted","job":"j1","priority":0,"objective":4}`,
		`  2.0 a {"ts":"2026-12-04T08:00:02.000Z","msg":"decision: Placed","job":"j1","step":0,"task":0}`,
		`not a line of ours`)
	second := write("b.log",
		`{"ts":"2026-12-04T08:00:03.000Z","msg":"decision: TakenOver","job":"j1","step":0,"task":0}`,
		`{"ts":"2026-12-04T08:00:06.000Z","msg":"decision: Done","job":"j1","step":0,"task":0}`,
		`{"ts":"2026-12-04T08:00:06.000Z","msg":"decision: JobEnded","job":"j1","cause":"Completed: all tasks are done"}`)
	code, out := runCommand(t, "jobtime", "-logs", second+","+first)
	require.Equal(t, exitOK, code, out)
	require.Regexp(t, `0 +late +1 +all +5s +1`, out)
	require.Regexp(t, `late +j1 +Completed +5s +Run 4s, WaitForRoom 1s`, out)
	code, out = runCommand(t, "jobtime", "-logs", "no-such-file")
	require.Equal(t, exitFailed, code, out)
}
