package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// playLimit bounds the time of a case.
const playLimit = 110 * time.Second

// cases holds the cases by name. Each returns the breaches of its rule.
var cases = map[string]func(*Lab) []string{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab2 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// abort ends the case and its processes after a signal, or when it takes too long.
func (l *Lab) abort() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	select {
	case received := <-signals:
		l.record.Note("ended by signal %v", received)
	case <-time.After(playLimit):
		l.record.Note("the case took too long")
	}
	l.Close()
	os.Exit(exitNotRun)
}

// play plays one case and returns its exit code.
func play(run func(*Lab) []string, folder string) (code int) {
	record, err := NewRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.Close()
	defer func() {
		failure := recover()
		if failure == nil {
			return
		}
		record.Note("%v", failure)
		fmt.Println(failure)
		if _, known := failure.(setupError); !known {
			panic(failure)
		}
		code = exitNotRun
	}()
	lab := NewLab(record)
	defer lab.Close()
	go lab.abort()
	breaches := run(lab)
	for _, breach := range breaches {
		record.Note("BROKEN: %s", breach)
		fmt.Println("broken:", breach)
	}
	if len(breaches) > 0 {
		return exitBroken
	}
	record.Note("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
