// Command ferry-edge runs one entry instance on the users' platform.
package main

import (
	"os"

	"samphireferry.example/ferry/edge"
)

func main() { os.Exit(edge.Main("ferry-edge", os.Args[1:], os.Stdout, os.Stderr)) }
