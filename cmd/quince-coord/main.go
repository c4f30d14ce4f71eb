// Command quince-coord runs the coordination process: membership, configuration,
// slots, and the operators' API.
package main

import (
	"os"
	"runtime/debug"

	"quinceroad/cmd/coord"
	"quinceroad/cmd/process"
)

// gcPercent keeps a coord's memory within its budget with thousands of customers.
const gcPercent = 50

func main() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	os.Exit(process.Main("quince-coord", func(a process.Args) process.Process {
		return coord.New(a.Settings, a.Log)
	}))
}
