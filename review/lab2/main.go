// Command lab2 plays the cases of this review: it runs a small deployment on loopback, with the
// program's instances as processes of their own and stand-ins for the platform's store, the backend
// servers and the clients. Its exit code is 1 if the rule of the case was broken, 0 if it held and 2
// if the case could not be played.
package main

import (
	"errors"
	"fmt"
	"os"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// verdict is what a case has shown.
type verdict struct {
	broken bool
	text   string
}

// cases are the cases by name. Each is told whether to bring the disruption about.
var cases = map[string]func(w *world, trouble bool) (verdict, error){
	"incomplete-entry": incompleteEntry,
	"paused-stream":    pausedStream,
	"raised-limits":    raisedLimits,
	"slow-reader":      slowReader,
	"slow-server":      slowServer,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: lab2 CASE RECORD")
		os.Exit(exitFailed)
	}
	v, err := play(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "not played:", err)
		os.Exit(exitFailed)
	case v.broken:
		fmt.Println("broken:", v.text)
		os.Exit(exitBroken)
	}
	fmt.Println("held:", v.text)
	os.Exit(exitHeld)
}

// play plays a case and ends all that it started.
func play(name, recordPath string, trouble bool) (verdict, error) {
	run := cases[name]
	if run == nil {
		return verdict{}, errors.New("no case " + name)
	}
	w, err := newWorld(recordPath)
	if err != nil {
		return verdict{}, err
	}
	defer w.close()
	w.record.add("case %s, trouble %t", name, trouble)
	v, err := run(w, trouble)
	if err != nil {
		w.record.add("not played: %v", err)
		return v, err
	}
	w.record.add("broken %t: %s", v.broken, v.text)
	return v, nil
}
