// Command quince-coord runs the process that knows the fleet: membership,
// configuration, slots, and the operators' intent API.
package main

import (
	"os"
	"runtime/debug"

	"quinceroad/cmd/coord"
	"quinceroad/cmd/process"
)

// gcPercent keeps a coord's memory within its budget with customers by the
// thousand.
const gcPercent = 50

func main() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	os.Exit(process.Main("quince-coord", func(a process.Args) process.Process {
		return coord.New(a.Settings, a.Log)
	}))
}
