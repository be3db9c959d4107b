package main

import (
	"fmt"
	"os"
)

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
