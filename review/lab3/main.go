package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// timeLimit ends a script that hangs before the 120 s that it may take.
const timeLimit = 112 * time.Second

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2
)

// cases maps the names of the scripts to what they play.
var cases = map[string]func(r *rig, trouble bool) error{
	"gang-acks":       playGangAcks,
	"advised-release": playAdvisedRelease,
}

func main() { os.Exit(run()) }

// run plays the case named by the first argument and writes its record to the second one.
func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: lab3 CASE RECORD")
		return exitUnable
	}
	r, err := newRig(os.Args[2])
	if err != nil {
		fmt.Println(err)
		return exitUnable
	}
	defer r.close()
	go r.endEarly()
	trouble := os.Getenv("TROUBLE") != "0"
	r.note("case %s, disruption: %v", os.Args[1], trouble)
	if err := cases[os.Args[1]](r, trouble); err != nil {
		r.note("could not run: %v", err)
		fmt.Println(err)
		return exitUnable
	}
	if len(r.broken) > 0 {
		fmt.Printf("broken: %s (%d in all)\n", r.broken[0], len(r.broken))
		r.note("result: broken, %d findings", len(r.broken))
		return exitBroken
	}
	r.note("result: held")
	fmt.Println("held")
	return exitHeld
}

// endEarly ends all processes and the script at a signal or at the time limit.
func (r *rig) endEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	select {
	case received := <-signals:
		r.note("could not run: ended by %v", received)
	case <-time.After(timeLimit):
		r.note("could not run: longer than %v", timeLimit)
	}
	r.close()
	os.Exit(exitUnable)
}
