// Command quince-coord runs the process that knows the fleet: membership,
// configuration, slots, and the operators' intent API.
package main

import (
	"os"

	"quinceroad/cmd/coord"
	"quinceroad/cmd/process"
)

func main() {
	os.Exit(process.Main("quince-coord", func(a process.Args) process.Process {
		return coord.New(a.Settings, a.Log)
	}))
}
