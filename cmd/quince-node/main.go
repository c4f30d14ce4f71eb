// Command quince-node runs a whole instance on the users' platform in one process.
package main

import (
	"os"

	"quinceroad/cmd/node"
)

func main() { os.Exit(node.Main(os.Args[1:])) }
