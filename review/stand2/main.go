// Command stand2 plays the scripted cases of the second review: it starts the project's own
// instances and stand-ins of the platform, of servers and of clients on loopback addresses, and
// checks what these saw.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by number. They report whether the rule was broken.
var cases = map[string]func(rec *record, edge string, trouble bool) (broken bool, err error){
	"6": unframedStreamOfCrashedServer,
	"7": unframedAnswerOfCrashedServer,
	"8": streamThatEndsInsideItsFirstEvent,
}

func main() {
	var err error
	switch {
	case len(os.Args) > 2 && os.Args[1] == "server":
		err = serve(os.Args[2:])
	case len(os.Args) == 5 && os.Args[1] == "run" && cases[os.Args[2]] != nil:
		os.Exit(play(os.Args[2], os.Args[3], os.Args[4]))
	default:
		err = errors.New("usage: stand2 server FLAGS | stand2 run CASE FOLDER EDGE-PROGRAM")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
}

// play plays a case, without its disruption if the variable TROUBLE is 0, and returns the exit
// code.
func play(number, folder, edge string) int {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.Close()
	rec := &record{f: f, start: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("case %s, with the disruption: %t", number, trouble)
	broken, err := cases[number](rec, edge, trouble)
	switch {
	case err != nil:
		rec.printf("the case could not run: %v", err)
		return exitNotRun
	case broken:
		rec.printf("the rule was broken")
		return exitBroken
	}
	rec.printf("the rule held")
	return exitHeld
}
