package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
)

// The exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// options are what every case gets.
type options struct {
	program string
	stamp   string
	trouble bool
	record  *record
}

// caseFunc runs a case. It returns whether the rule was broken, or an error if the case
// could not run.
type caseFunc func(o options) (isBroken bool, err error)

var cases = map[string]caseFunc{
	"nominated-field": nominatedField,
	"smuggled":        smuggled,
	"crash":           crash,
	"encoded-slash":   encodedSlash,
	"rollout":         rollout,
}

func main() { os.Exit(mainCode()) }

// mainCode runs the case that the flags name and returns the exit code.
func mainCode() int {
	name := flag.String("case", "", "name of the case")
	program := flag.String("program", "target/ferry-edge", "path of ferry-edge")
	out := flag.String("record", "record.txt", "file for what was sent, answered and run")
	stamp := flag.String("stamp", "", "name of the header field with which an upstream signs a response")
	flag.Parse()
	run, known := cases[*name]
	if !known || *stamp == "" {
		fmt.Fprintln(os.Stderr, "unknown case, or no -stamp")
		return failed
	}
	path, err := filepath.Abs(*program)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	r, err := newRecord(*out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer r.close()
	trouble := os.Getenv("TROUBLE") != "0"
	r.printf("case %s, with the disruption: %v", *name, trouble)
	isBroken, err := run(options{program: path, stamp: *stamp, trouble: trouble, record: r})
	switch {
	case err != nil:
		r.printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return failed
	case isBroken:
		r.printf("result: the rule was broken")
		return broken
	}
	r.printf("result: the rule held")
	return held
}
