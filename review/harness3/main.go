// Harness3 runs cases of the third review against the project's own programs, with stand-ins for callers, executors, the operator and
// the platform. It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
)

// cases holds the cases by number. Each reports whether its rule was broken.
var cases = map[int]struct {
	links     bool // Whether messages between machines pass through proxies.
	executors int  // Executors in each zone; the case itself starts its systems when there are none.
	run       func(c *cluster, trouble bool) (broken bool, err error)
}{
	12: {true, 1, cancelledAtCutOffFrontend},
	11: {true, 0, forgottenDesiredState},
}

func main() {
	number := flag.Int("case", 0, "number of the case")
	program := flag.String("program", "target/redwingd", "the project's program")
	path := flag.String("record", "", "file for the record")
	flag.Parse()
	os.Exit(run(*number, *program, *path))
}

func run(number int, program, path string) int {
	endAtSignal()
	selected, known := cases[number]
	if !known {
		fmt.Fprintln(os.Stderr, "no such case")
		return 2
	}
	if path != "" {
		file, err := os.Create(path)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 2
		}
		defer file.Close()
		record = io.MultiWriter(file, os.Stdout)
	}
	c, err := newCluster(program, selected.links)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { c.stop() }()
	if selected.executors > 0 {
		if err := c.serve(selected.executors); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 2
		}
		say("the system serves")
	}
	broken, err := selected.run(c, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if broken {
		say("the rule was broken")
		return 1
	}
	say("the rule held")
	return 0
}

// endAtSignal ends all processes that were started when this one is told to end.
func endAtSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-signals
		endAllStarted()
		os.Exit(2)
	}()
}
