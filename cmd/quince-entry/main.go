// Command quince-entry runs the entry, the process that serves clients in a deployment
// with separate processes. Every instance runs one next to its quince-coord.
package main

import (
	"os"

	"quinceroad/cmd/entry"
	"quinceroad/cmd/process"
)

func main() {
	os.Exit(process.Main("quince-entry", func(a process.Args) process.Process {
		return entry.New(a.Settings, a.Log)
	}))
}
