package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by the names of their folders.
var cases = map[string]func(*deployment) (broken bool, err error){
	`4`: showSlowUpstream,
	`6`: showRestartedHosts,
}

func main() { os.Exit(show()) }

func show() int {
	const arguments = 5
	if len(os.Args) != arguments {
		fmt.Fprintln(os.Stderr, "usage: standins-2 CASE DAEMON FOLDER TROUBLE")
		return exitNotRun
	}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "standins-2: unknown case", os.Args[1])
		return exitNotRun
	}
	log, err := newRecord(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer log.close()
	d, err := newDeployment(os.Args[2], log, os.Args[4] != "0")
	if err != nil {
		log.printf("not run: %v", err)
		return exitNotRun
	}
	defer d.close()
	broken, err := play(d)
	switch {
	case err != nil:
		log.printf("not run: %v", err)
		return exitNotRun
	case broken:
		log.printf("the rule was broken")
		return exitBroken
	}
	log.printf("the rule held")
	return exitHeld
}
