// Command standin-3 plays the cases of the third review against the project's own programs: it starts them as
// processes on loopback addresses, with stand-ins for workers, clients, operators and the adviser. It exits with 0 if the rule
// of the case held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"runtime"
)

// scenario plays a case, with or without its disruption, and returns how the rule was broken.
type scenario func(rec *record, trouble bool) (broken []string, err error)

const (
	held = iota
	ruleBroken
	notRun
)

var (
	scenarios = map[string]scenario{
		"wide-job": playWideJob, "many-steps": playManySteps, "unhealthy": playUnhealthy, "slow-advice": playSlowAdvice, "late-order": playLateOrder,
	}

	errNotReady = errors.New("the deployment did not become ready")
)

func main() {
	os.Exit(play(os.Args[1:]))
}

// play plays the scenario that is named first and writes its record to the file that is named second.
func play(arguments []string) int {
	if len(arguments) != 2 || scenarios[arguments[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 SCENARIO RECORD")
		return notRun
	}
	runtime.LockOSThread() // the processes end with the thread that starts them
	rec, err := newRecord(arguments[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer rec.file.Close()
	broken, err := scenarios[arguments[0]](rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.add("verdict", "not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	for _, reason := range broken {
		rec.add("verdict", "broken: %s", reason)
		fmt.Println("broken:", reason)
	}
	if len(broken) > 0 {
		return ruleBroken
	}
	rec.add("verdict", "held")
	fmt.Println("held")
	return held
}
