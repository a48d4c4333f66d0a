// Command ferryctl is the command line tool of operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"samphireferry.example/ferry/operator/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	os.Exit(ctl.Main(ctx, "ferryctl", os.Args[1:], os.Stdout, os.Stderr))
}
