//go:build review

// Command standins-3 plays the cases of the third review: each starts nodes of the project as
// processes of their own, with stand-ins of the store, of workers and of clients in this process.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const (
	held       = 0
	broken     = 1
	couldntRun = 2
)

// verdict is the result of a case that ran.
type verdict struct {
	broken bool
	text   string
}

// cases by name; the file of each adds its own. trouble is false if the disruption is to be left out.
var cases = map[string]func(f *fleet, trouble bool) (verdict, error){}

// maxTime is how long a case may take.
const maxTime = 115 * time.Second

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standins-3 CASE FOLDER")
		return couldntRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Println(err)
		return couldntRun
	}
	defer r.close()
	r.note("case", "name", os.Args[1], "trouble", trouble)
	f, err := newFleet(r)
	if err != nil {
		fmt.Println(err)
		return couldntRun
	}
	defer f.close()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, os.Interrupt, syscall.SIGTERM)
	limit := time.AfterFunc(maxTime, func() { ended <- os.Interrupt })
	defer limit.Stop()
	go func() {
		<-ended
		f.close()
		r.note("could_not_run", "err", "interrupted, or out of time")
		r.close()
		os.Exit(couldntRun)
	}()
	v, err := cases[os.Args[1]](f, trouble)
	if err != nil {
		fmt.Println("could not run:", err)
		r.note("could_not_run", "err", err)
		return couldntRun
	}
	r.note("verdict", "broken", v.broken, "text", v.text)
	fmt.Println(v.text)
	if v.broken {
		return broken
	}
	return held
}
