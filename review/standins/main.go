// Command standins plays one case of the review: it starts the store, upstreams and callers in its
// own process and the entry hosts as processes of their own, and checks what the callers and the
// upstreams saw.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseFunc plays one case with or without its disruption, and returns how often the rule was broken.
type caseFunc func(f *fleet, trouble bool) (broken int, err error)

var errUsage = errors.New("usage: standins CASE DIR")

func main() {
	os.Exit(play(os.Args[1:]))
}

// play plays the case that the arguments name and returns the exit code.
func play(args []string) int {
	cases := map[string]caseFunc{
		"omitted-field": playOmittedField, "endless-header": playEndlessHeader, "late-request": playLateRequest,
	}
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, errUsage)
		return exitNotRun
	}
	f, err := newFleet(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		f.close()
		os.Exit(exitNotRun)
	}()
	broken, err := cases[args[0]](f, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		f.record("not run: %v", err)
		return exitNotRun
	case broken > 0:
		f.record("result: the rule was broken %d times", broken)
		return exitBroken
	}
	f.record("result: the rule held")
	return exitHeld
}
