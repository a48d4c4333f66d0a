// Command ferry-standin runs stand-ins for the platform and for upstreams.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"samphireferry.example/ferry/standin/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	os.Exit(command.Main(ctx, "ferry-standin", os.Args[1:], os.Stdout, os.Stderr))
}
