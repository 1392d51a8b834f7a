//go:build review

// Command standins-2 plays the scripts of the second review: stand-ins of the store, workers and
// clients in this process, and the project's nodes as processes of their own.
package main

import (
	"fmt"
	"os"
)

func main() {
	cases := map[string]func(*fleet, bool) (bool, error){"long-bodies": longBodies, "rolling-restart": rollingRestart, "stepped-back": steppedBack, "crashes-then-restart": crashesThenRestart}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standins-2 CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// play returns 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
func play(c func(*fleet, bool) (bool, error), record string) int {
	f, err := newFleet(record)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer f.close()
	broken, err := c(f, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		f.say("could not run: %v", err)
		return 2
	case broken:
		f.say("the rule is broken")
		return 1
	}
	f.say("the rule held")
	return 0
}
