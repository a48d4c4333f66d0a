package ctl

import (
	"context"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"samphireferry.example/ferry/operator/explain"
)

func (a *app) explainCommand() *ffcli.Command {
	return a.command("explain", "REQUEST-ID [FILE...]", "Shows the timeline of a request from the logs of entry instances; reads standard input if no file is given.", newFlagSet("explain"),
		func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return usagef("explain needs a request id")
			}
			l := &explain.Log{}
			if len(args) == 1 {
				if err := l.Read("-", os.Stdin); err != nil {
					return err
				}
			}
			for _, name := range args[1:] {
				if err := readLog(l, name); err != nil {
					return err
				}
			}
			return l.Write(a.output, args[0])
		})
}

func readLog(l *explain.Log, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer file.Close()
	return l.Read(name, file)
}
