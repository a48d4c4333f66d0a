package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// run is one run of a case.
type run struct {
	// program is the path of the entry instance's program, dir a temporary folder.
	program, dir string
	// trouble is whether the disruption takes place.
	trouble bool
	record  *record
}

// cases maps the names of the cases to their functions, which return whether the rule was broken.
var cases = map[string]func(*run) (broken bool, err error){
	"watch":   runWatch,
	"logs":    runLogs,
	"foreign": runForeign,
	"options": runOptions,
}

func main() { os.Exit(runCase()) }

func runCase() int {
	name := flag.String("case", "", "name of the case")
	program := flag.String("program", "target/ferry-edge", "program of the entry instance")
	recordPath := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "whether the disruption takes place")
	flag.Parse()
	test := cases[*name]
	if test == nil {
		fmt.Fprintf(os.Stderr, "no case %q\n", *name)
		return exitFailed
	}
	dir, err := os.MkdirTemp("", "review-third-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer os.RemoveAll(dir)
	r, err := newRecord(*recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer r.close()
	path, err := filepath.Abs(*program)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	broken, err := test(&run{program: path, dir: dir, trouble: *trouble, record: r})
	switch {
	case err != nil:
		r.sum("the case could not run: %v", err)
		return exitFailed
	case broken:
		r.sum("the rule was broken")
		return exitBroken
	}
	r.sum("the rule held")
	return exitHeld
}
