// Command ferry-demo starts a small system in one process and prints commands
// to try.
package main

import (
	"os"

	"samphireferry.example/ferry/demo"
)

func main() { os.Exit(demo.Main("ferry-demo", os.Args[1:], os.Stdout, os.Stderr)) }
