// Command quince-node is an instance's one process on the users' platform.
package main

import (
	"os"

	"quinceroad/cmd/node"
)

func main() { os.Exit(node.Main(os.Args[1:])) }
