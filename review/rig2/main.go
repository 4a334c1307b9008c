// Command rig2 plays the cases of the second independent review: the project's own programs as separate processes on loopback, against stand-ins of the
// platform, its runners and its clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// caseTimeout is how long a case may take.
const caseTimeout = 110 * time.Second

// cases holds the cases by name. Each returns what breaks its rule; empty means that the rule held.
var cases = map[string]func(c *cluster, trouble bool) string{}

func main() {
	const arguments = 3
	if len(os.Args) != arguments || cases[os.Args[1]] == nil {
		fmt.Println("usage: rig2 CASE RECORD")
		os.Exit(2)
	}
	if _, err := os.Stat(program); err != nil {
		cannotRun("the program is not built: " + err.Error())
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec := newRecord(os.Args[2])
	rec.log("case %s, with the disruption: %t", os.Args[1], trouble)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		cannotRun("stopped by a signal")
	}()
	time.AfterFunc(caseTimeout, func() { cannotRun("it took too long") })
	c := newCluster(rec)
	broken := cases[os.Args[1]](c, trouble)
	c.close()
	if broken != "" {
		rec.log("BROKEN: %s", broken)
		fmt.Println("broken:", broken)
		os.Exit(1)
	}
	rec.log("the rule held")
	fmt.Println("the rule held")
}
