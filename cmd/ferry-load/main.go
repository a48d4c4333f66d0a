// Command ferry-load sends requests at fixed rates and reports what each
// customer got.
package main

import (
	"os"

	"samphireferry.example/ferry/load"
)

func main() { os.Exit(load.Main("ferry-load", os.Args[1:], os.Stdout, os.Stderr)) }
