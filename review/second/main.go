package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// The exit codes of a case.
const (
	held = iota
	broken
	failedToRun
)

// scenario is the course of a case. It returns whether the rule was broken.
type scenario func(s *system, trouble bool) (bool, error)

var scenarios = map[string]scenario{
	"stalled-log":    stalledLog,
	"pipelined-stop": pipelinedStop,
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "name of the case")
	dir := flag.String("dir", ".", "folder of the case")
	program := flag.String("program", "target/ferry-edge", "the entry instance")
	logs := flag.String("logs", "", "folder for the logs of the entry instances; empty keeps none")
	flag.Parse()
	course := scenarios[*name]
	if course == nil {
		fmt.Fprintf(os.Stderr, "no case %q\n", *name)
		return failedToRun
	}
	record, err := newRecord(filepath.Join(*dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failedToRun
	}
	defer record.close()
	s, err := newSystem(*dir, *program, *logs, record)
	if err != nil {
		record.note("cannot run: %v", err)
		return failedToRun
	}
	defer s.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-signals
		s.close()
		os.Exit(failedToRun)
	}()
	wasBroken, err := course(s, os.Getenv("TROUBLE") != "0")
	if err != nil {
		record.note("cannot run: %v", err)
		return failedToRun
	}
	if wasBroken {
		return broken
	}
	return held
}
