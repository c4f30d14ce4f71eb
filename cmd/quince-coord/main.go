// Command quince-coord runs the coordination process of a deployment with separate
// processes: membership, configuration, slots, and the operators' API. Every instance
// runs one next to its quince-entry.
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
