// Command quincectl is the operators' command line; see package ctl.
package main

import (
	"os"

	"quinceroad/cmd/ctl"
)

func main() { os.Exit(ctl.Main(os.Args[1:], os.Stdout, os.Stderr)) }
