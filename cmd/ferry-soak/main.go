// Command ferry-soak harms entry instances from outside and checks their promises.
package main

import (
	"os"

	"samphireferry.example/ferry/soak"
)

func main() { os.Exit(soak.Main("ferry-soak", os.Args[1:], os.Stdout, os.Stderr)) }
