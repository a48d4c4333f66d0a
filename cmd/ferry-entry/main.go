// Command ferry-entry runs one entry instance.
package main

import (
	"os"

	"samphireferry.example/ferry/daemon"
)

func main() { os.Exit(daemon.Main("ferry-entry", os.Args[1:], os.Stdout, os.Stderr)) }
