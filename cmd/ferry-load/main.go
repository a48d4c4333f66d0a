// Command ferry-load sends requests at fixed rates and reports the results of
// each customer.
package main

import (
	"os"

	"samphireferry.example/ferry/load"
)

func main() { os.Exit(load.Main("ferry-load", os.Args[1:], os.Stdout, os.Stderr)) }
