// Rig plays one case of the review: it starts the system's instances as separate processes against small stand-ins of the platform's
// store, of workers and of clients, all on loopback addresses, and checks one rule. It exits with 1 if the rule was broken, with 0 if
// it held, and with 2 if the case could not be run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// limit ends a case that does not end by itself.
const limit = 115 * time.Second

// play is a case. It returns the violations of its rule, or an error if it could not be run.
type play func(log *record, program string, trouble bool, keep func(c *cluster)) ([]string, error)

// plays holds the scripted cases, and two further plays that REPORT.md describes.
var plays = map[string]play{
	"reset": playReset, "ends": playEnds, "moved": playMoved, "pending": playPending, "large": playLarge, "foreign": playForeign,
}

func main() {
	name := flag.String("case", "", "name of the case")
	dir := flag.String("dir", ".", "folder for record.txt")
	program := flag.String("program", "target/jujubegrade", "program of the system")
	logs := flag.String("logs", "", "folder for the instances' logs; empty discards them")
	flag.Parse()
	os.Exit(run(*name, *dir, *program, *logs))
}

func run(name, dir, program, logs string) int {
	p, found := plays[name]
	if !found {
		fmt.Println("unknown case")
		return 2
	}
	log, err := newRecord(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer log.close()
	program, err = filepath.Abs(program)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	var started *cluster
	type result struct {
		violations []string
		err        error
	}
	finished := make(chan result, 1)
	clusters := make(chan *cluster, 1)
	go func() {
		violations, err := p(log, program, os.Getenv("TROUBLE") != "0", func(c *cluster) { clusters <- c })
		finished <- result{violations, err}
	}()
	out := result{err: fmt.Errorf("the case took too long")}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	select {
	case out = <-finished:
	case <-time.After(limit):
	case <-stopped:
		out.err = fmt.Errorf("the case was stopped")
	}
	select {
	case started = <-clusters:
	default:
	}
	if started != nil {
		started.stop(logs)
	}
	if out.err != nil {
		log.add("could not run: %v", out.err)
		fmt.Println("could not run:", out.err)
		return 2
	}
	for i, v := range out.violations {
		log.add("VIOLATION %s", v)
		if i < 5 {
			fmt.Println("violation:", v)
		}
	}
	if len(out.violations) > 0 {
		fmt.Println(len(out.violations), "violations")
		return 1
	}
	log.add("the rule held")
	fmt.Println("the rule held")
	return 0
}
