// Command quince-node runs a whole instance on the users' platform in one process, in
// place of quince-entry and quince-coord.
package main

import (
	"os"

	"quinceroad/cmd/node"
)

func main() { os.Exit(node.Main(os.Args[1:])) }
