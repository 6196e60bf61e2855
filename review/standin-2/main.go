// Command standin2 runs one review case against processes of the daemon: a stand-in store, stand-in servers and stand-in clients, all on
// loopback addresses. It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases lists the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(r *run) (broken bool, err error){
	"restore": runRestore,
	"upload":  runUpload,
	"leave":   runLeave,
	"forget":  runForget,
}

// caseLimit ends a case that hangs, before the 120 s that a script may take.
const caseLimit = 110 * time.Second

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD-FILE")
		os.Exit(2)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

func runCase(name, recordFile string) int {
	r, err := newRun(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		return 2
	}
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := cases[name](r)
		done <- result{broken, err}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	var end result
	select {
	case end = <-done:
	case <-time.After(caseLimit):
		end = result{err: fmt.Errorf("the case did not end within %s", caseLimit)}
	case s := <-stop:
		end = result{err: fmt.Errorf("the case was stopped: %s", s)}
	}
	r.close()
	status, verdict := 0, "the rule held"
	switch {
	case end.err != nil:
		status, verdict = 2, "could not run: "+end.err.Error()
	case end.broken:
		status, verdict = 1, "the rule was broken"
	}
	r.rec.line("verdict: %s", verdict)
	r.rec.close()
	fmt.Println(verdict)
	return status
}
