// Command page prints docs/EVENTS.md from the catalogue.
package main

import (
	"fmt"

	"quinceroad/protocol/event"
)

func main() { fmt.Print(event.Markdown()) }
