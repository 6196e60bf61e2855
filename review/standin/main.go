// Command standin plays the scripts of the review: it starts the project's daemons as processes, with a store, servers and requesters of
// its own, and checks one rule. Exit status: 1 the rule was broken, 0 it held, 2 the case couldn't run.
package main

import (
	"fmt"
	"os"
)

var cases = map[string]func(rec *recorder, trouble bool) (broken bool, err error){
	"outage":   outage,
	"leave":    leave,
	"grace":    grace,
	"pipeline": pipeline,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	rec, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, trouble=%v", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](rec, trouble)
	switch {
	case err != nil:
		rec.add("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		os.Exit(2)
	case broken:
		rec.add("verdict: the rule was broken")
		fmt.Println("broken")
		os.Exit(1)
	}
	rec.add("verdict: the rule held")
	fmt.Println("held")
}
