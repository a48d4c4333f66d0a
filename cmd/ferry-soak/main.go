// Command ferry-soak injects faults into entry instances from outside and checks
// their guarantees.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"samphireferry.example/ferry/soak"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	os.Exit(soak.Main(ctx, "ferry-soak", os.Args[1:], os.Stdout, os.Stderr))
}
