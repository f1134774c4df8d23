// Command baobabladder is the system's one product binary: an entry VM's
// process and the operators' commands.
package main

import (
	"os"

	"baobabladder.example/baobabladder/internal/entry/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr))
}
