// Command baobabladder is the product's only binary. It runs an entry VM and provides
// the operators' commands.
package main

import (
	"os"

	"baobabladder.example/baobabladder/internal/entry/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr))
}
