// Command standin-3 plays the cases of the third review: stand-ins for the store, the servers and the clients, and the project's daemons as
// processes of their own.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
)

// play is a case: it returns the breaks of the rule.
type play func(f *Fleet, trouble bool) (breaks []string, err error)

var cases = map[string]play{}

func main() {
	binary := flag.String("binary", "target/marigoldwinch", "the daemon's program")
	template := flag.String("template", "deploy/daemon.ini", "the template of its settings")
	record := flag.String("record", "record.txt", "file that gets the record")
	trouble := flag.Bool("trouble", true, "with the disruption")
	keep := flag.String("keep", "", "folder for settings and logs that is kept")
	flag.Parse()
	chosen := cases[flag.Arg(0)]
	if chosen == nil {
		fmt.Fprintln(os.Stderr, "unknown case", flag.Arg(0))
		os.Exit(2)
	}
	dir := *keep
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "review-3-"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
	}
	absolute, _ := filepath.Abs(*binary)
	rec := NewRecorder()
	f, err := NewFleet(absolute, *template, dir, rec)
	var breaks []string
	if err == nil {
		breaks, err = chosen(f, *trouble)
		f.Stop()
	}
	if *keep == "" {
		_ = os.RemoveAll(dir)
	}
	status := 0
	switch {
	case err != nil:
		rec.Note("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		status = 2
	case len(breaks) > 0:
		status = 1
		for _, b := range breaks {
			rec.Note("BROKEN: %s", b)
			fmt.Println("BROKEN:", b)
		}
	default:
		rec.Note("held")
		fmt.Println("held")
	}
	rec.Save(*record)
	os.Exit(status)
}
